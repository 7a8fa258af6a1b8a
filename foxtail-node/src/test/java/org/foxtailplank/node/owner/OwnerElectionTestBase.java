package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient;
import org.testng.annotations.BeforeMethod;

/** A node and a simulated owner, with an in-memory log and a clock that the test controls. */
abstract class OwnerElectionTestBase {
    static final LogPartition OWNERS = new LogPartition("foxtail-owners", 0);
    static final String OTHER_ADDRESS = "10.0.0.9:1";

    /** Longest random delay plus the duration of an attempt in these tests. */
    static final long MAX_ATTEMPT_MS = 450;

    static final LinkRate WIDE = new LinkRate(1000);
    static final LinkRate NARROW = new LinkRate(1);

    /** Time within which a node on a narrow link takes over if no other node does. */
    static final long MAX_NARROW_ATTEMPT_MS = 1200;

    FakeTime mTime;
    FakeSharedLog mLog;
    FakeOwnerMonitor mOwnerMonitor;
    Optional<List<VmClient.VmInfo>> mListedVms;

    /** Whether the VM service answers all lists with a rejection. */
    boolean mListsRejected;

    int mListCalls;
    List<Long> mTokens;
    List<Boolean> mPredecessorCallsFinished;
    List<Boolean> mRenewalsFinished;
    OwnerElection mElection;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mOwnerMonitor = new FakeOwnerMonitor();
        mListedVms = Optional.of(List.of());
        mListsRejected = false;
        mListCalls = 0;
        mTokens = new ArrayList<>();
        mPredecessorCallsFinished = new ArrayList<>();
        mRenewalsFinished = new ArrayList<>();
    }

    private final class Vms implements VmClient {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> callback) {
            mListCalls++;
            callback.accept(mListedVms);
        }

        @Override
        public void checkReachable(Consumer<Boolean> callback) {
            callback.accept(mListedVms.isPresent() || mListsRejected);
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
            throw new AssertionError("called before the takeover");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
            throw new AssertionError("called before the takeover");
        }
    }

    /** Starts a node, which reads the journal's contents. */
    void startNode() {
        startNode(WIDE);
    }

    void startNode(LinkRate link) {
        startNode(link, mLog);
    }

    void startNode(LinkRate link, SharedLog log) {
        NodeLog out = NodeLog.silent(mTime);
        JournalReader reader =
                new JournalReader(
                        log,
                        JournalPartitions.all(3),
                        mTime,
                        mTime,
                        out,
                        new JobRegistry(120_000),
                        (record, job) -> mElection.applyRecord(record));
        mElection =
                new OwnerElection(
                        log,
                        reader,
                        mTime,
                        mTime,
                        out,
                        "node",
                        "10.0.0.1:1",
                        link,
                        mOwnerMonitor,
                        new Vms(),
                        this::recordTakeover,
                        bound -> ThreadLocalRandom.current().nextLong(bound));
        reader.follow();
        mElection.start();
    }

    private void recordTakeover(Takeover takeover) {
        mTokens.add(takeover.token());
        mPredecessorCallsFinished.add(takeover.predecessorCallsFinished());
        mRenewalsFinished.add(takeover.renewalsFinished());
    }

    void write(JournalRecord record) {
        mLog.records(JournalPartitions.PRIMARY).add(JournalCodec.encode(record));
    }

    void addOtherOwner() {
        mLog.records(OWNERS).add(new OwnerRecord("other", OTHER_ADDRESS, "life").encode());
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, 0));
    }

    void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.advance(10);
            mLog.deliverAnswers();
        }
    }

    /** Lets time pass while the owner keeps writing heartbeats. */
    void passWithHeartbeats(long ms) {
        for (long t = 0; t < ms; t += 400) {
            write(new OwnerHeartbeat(1, OTHER_ADDRESS, 0));
            pass(400);
        }
    }
}
