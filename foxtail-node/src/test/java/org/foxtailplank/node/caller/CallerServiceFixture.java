package org.foxtailplank.node.caller;

import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.adapter.PlatformTimeouts;
import org.foxtailplank.adapter.UsersPlatform;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpRequest;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.JobQueries;
import org.foxtailplank.node.peer.OwnerLink;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.schedule.UnstoredJob;

/** A caller service with its dependencies, as in a node. */
final class CallerServiceFixture {
    private final JournalReader mReader;
    private final OwnerLink mLink;
    private final OperatorFollower mOperator;
    private final CallerService mService;
    private final NodeLog mLog;
    private final NodeMetrics mMetrics = new NodeMetrics();
    private final KnownCapacity mCapacity = new KnownCapacity();
    private final List<UnstoredJob> mUnstored = new ArrayList<>();
    private AdmissionSettings mAdmission = AdmissionSettings.OFF;

    /** Hands records over through the link, and keeps the rejected submissions that it reports. */
    private final class RecordingHandover implements Handover {
        @Override
        public boolean isAvailable() {
            return mLink.isAvailable();
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
            mLink.handOver(record, callback);
        }

        @Override
        public void reportUnstored(UnstoredJob job) {
            mUnstored.add(job);
        }
    }

    /** Creates a service that isn't connected to an owner. */
    CallerServiceFixture(
            FakeTime clock,
            SharedLog log,
            ChangeFeed<OperatorChange> operatorChanges,
            FakeJobQueries ownerQueries) {
        this(clock, log, operatorChanges, ownerQueries, KeyLifetime.UNLIMITED);
    }

    /** Creates a service that accepts keys only for a limited time without confirmation. */
    CallerServiceFixture(
            FakeTime clock,
            SharedLog log,
            ChangeFeed<OperatorChange> operatorChanges,
            FakeJobQueries ownerQueries,
            KeyLifetime keyLifetime) {
        this(null, clock, clock, log, operatorChanges, Optional.of(ownerQueries), keyLifetime);
    }

    /** Creates a service that can connect to an owner on the loopback interface and query it. */
    CallerServiceFixture(
            EventLoop loop,
            Clock clock,
            Timers timers,
            SharedLog log,
            ChangeFeed<OperatorChange> operatorChanges) {
        this(loop, clock, timers, log, operatorChanges, Optional.empty(), KeyLifetime.UNLIMITED);
    }

    private CallerServiceFixture(
            EventLoop loop,
            Clock clock,
            Timers timers,
            SharedLog log,
            ChangeFeed<OperatorChange> operatorChanges,
            Optional<JobQueries> ownerQueries,
            KeyLifetime keyLifetime) {
        NodeLog out = NodeLog.silent(clock);
        mLog = out;
        mOperator = new OperatorFollower(operatorChanges, clock, timers, out);
        mReader =
                new JournalReader(
                        log,
                        JournalPartitions.all(3),
                        clock,
                        timers,
                        out,
                        new JobRegistry(120_000),
                        (record, job) -> {});
        mLink = new OwnerLink(loop, clock, timers, out, mReader);
        PlatformAddresses none = new PlatformAddresses("127.0.0.1:1", "", "");
        mService =
                new CallerService(
                        mOperator,
                        mReader,
                        mLink,
                        ownerQueries.orElse(mLink),
                        new JournalWriter(
                                log,
                                JournalPartitions.PRIMARY,
                                new RecordingHandover(),
                                clock,
                                timers,
                                out),
                        new UsersPlatform(
                                        null,
                                        null,
                                        null,
                                        null,
                                        none,
                                        PlatformTimeouts.DEFAULTS,
                                        clock::nowMs)
                                .callerCodec(),
                        keyLifetime,
                        new AdmissionGate(
                                mCapacity,
                                () -> mAdmission,
                                ownerQueries.orElse(mLink),
                                clock,
                                out,
                                mMetrics),
                        clock,
                        timers,
                        out,
                        mMetrics);
    }

    /** Rejected submissions that were reported to the owner. */
    List<UnstoredJob> unstored() {
        return mUnstored;
    }

    void setAdmission(AdmissionMode mode) {
        mAdmission = new AdmissionSettings(mode, Map.of());
    }

    KnownCapacity capacity() {
        return mCapacity;
    }

    JournalReader reader() {
        return mReader;
    }

    OwnerLink link() {
        return mLink;
    }

    /** Reads the operator's changes. */
    void readOperatorChanges() {
        mOperator.refresh();
    }

    /** Polls the operator's changes from now on. */
    void followOperatorChanges() {
        mOperator.follow();
    }

    /** Returns the lines logged so far and the metrics. */
    String output() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        mLog.flush(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8) + mMetrics.text();
    }

    /** Sends a request; the returned list receives the reply. */
    List<HttpReply> send(String method, String path, byte[] body, Optional<String> deadlineMs) {
        return send(
                method,
                path,
                body,
                name -> name.equals("Deadline-Ms") ? deadlineMs : Optional.empty());
    }

    /** Sends a request with an API key; the returned list receives the reply. */
    List<HttpReply> sendWithKey(String method, String path, byte[] body, String key) {
        return send(
                method,
                path,
                body,
                name -> name.equals("Key") ? Optional.of(key) : Optional.empty());
    }

    private List<HttpReply> send(
            String method, String path, byte[] body, HttpRequest.HeaderLookup headers) {
        List<HttpReply> replies = new ArrayList<>();
        mService.handle(new HttpRequest(method, path, "", "h", headers, body), replies::add);
        return replies;
    }
}
