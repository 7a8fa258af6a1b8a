package org.foxtailplank.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.foxtailplank.adapter.PlatformTimeouts;
import org.foxtailplank.adapter.UsersPlatform;
import org.foxtailplank.http.BodyMemory;
import org.foxtailplank.http.HttpClient;
import org.foxtailplank.http.HttpHandler;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpRequest;
import org.foxtailplank.http.HttpServer;
import org.foxtailplank.http.ServerLimits;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JobSummary;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.caller.CallerService;
import org.foxtailplank.node.caller.LocalJobQueries;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.journal.RecordForwarder;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.owner.OwnerContext;
import org.foxtailplank.node.owner.OwnerElection;
import org.foxtailplank.node.owner.OwnerSession;
import org.foxtailplank.node.owner.ResignationPolicy;
import org.foxtailplank.node.owner.Takeover;
import org.foxtailplank.node.peer.ConfigExchange;
import org.foxtailplank.node.peer.JobQueries;
import org.foxtailplank.node.peer.JournalStream;
import org.foxtailplank.node.peer.OwnerLink;
import org.foxtailplank.node.peer.RelayedStartHandler;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.schedule.UnstoredJob;

/** Assembles the components of one node; all of them run on one event loop thread. */
public final class Node {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Largest body of a caller's request, in bytes: a job's text and hundreds of steps. */
    private static final int MAX_BODY_BYTES = 256 << 10;

    /** Most connections for readiness checks, and for metrics. */
    private static final int OPERATIONS_CONNECTIONS = 64;

    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Connections to the store: long polls, appends and refreshes; the same to the VM service. */
    private static final int STORE_CONNECTIONS = 12;

    /** Connections to one worker for starts, stops and other commands. */
    private static final int WORKER_CONNECTIONS = 6;

    /**
     * Connections to one worker for polls: one for the current poll, the others for overdue ones
     * whose answers may still arrive.
     */
    private static final int POLL_CONNECTIONS = 8;

    /** A node whose last read is older than this, in milliseconds, isn't ready for callers. */
    private static final long MAX_READ_AGE_MS = 2500;

    /** Interval at which ended jobs are removed, in milliseconds. */
    private static final long CLEANUP_INTERVAL_MS = 5000;

    /** How long a resigning owner waits for the store, in milliseconds. */
    private static final long RESIGN_TIMEOUT_MS = 150;

    private static final long DRAIN_CHECK_INTERVAL_MS = 20;

    /** How often an owner checks whether to resign because of its narrow link. */
    private static final long NARROW_CHECK_INTERVAL_MS = 200;

    /** Part of the grace period reserved for the end of the process, in milliseconds. */
    private static final long EXIT_MARGIN_MS = 700;

    /** How long a stopping node keeps listening, until callers are routed to other nodes. */
    private static final long MIN_LISTEN_MS = 2500;

    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final NodeMetrics mMetrics = new NodeMetrics();
    private final EventLoop mLoop;
    private final UsersPlatform mPlatform;
    private final OperatorFollower mOperator;
    private final JournalReader mReader;
    private final JournalWriter mWriter;
    private final OwnerLink mLink;
    private final ConfigExchange mConfigExchange;
    private final Connectivity mConnectivity;
    private final OwnerElection mElection;
    private final ResignationPolicy mResignationPolicy;
    private final NodeAdmission mAdmission;

    private Optional<OwnerSession> mOwner = Optional.empty();
    private HttpServer mCallerServer;
    private JournalStream mStream;
    private boolean mStopping;
    private boolean mReportedReady;
    private NodeSettings mSettings;

    public Node(NodeSettings settings, EventLoop loop, Clock clock, Timers timers, NodeLog log) {
        mSettings = settings;
        mLoop = loop;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mPlatform =
                new UsersPlatform(
                        new HttpClient(loop, CONNECT_TIMEOUT_MS, STORE_CONNECTIONS),
                        new HttpClient(loop, CONNECT_TIMEOUT_MS, WORKER_CONNECTIONS),
                        new HttpClient(loop, CONNECT_TIMEOUT_MS, POLL_CONNECTIONS),
                        HttpClient.resetting(loop, CONNECT_TIMEOUT_MS, STORE_CONNECTIONS),
                        settings.platform(),
                        PlatformTimeouts.DEFAULTS,
                        clock::nowMs);
        SharedLog shared = mPlatform.log();
        mOperator = new OperatorFollower(mPlatform.operatorChanges(), clock, timers, log);
        mReader =
                new JournalReader(
                        shared,
                        settings.journal().partitions(),
                        clock,
                        timers,
                        log,
                        new JobRegistry(settings.journal().endedJobRetentionMs()),
                        this::recordApplied);
        mReader.readEarlier(JournalPartitions.earlier(settings.journal().partitionCount()));
        mLink = new OwnerLink(loop, clock, timers, log, mReader);
        mConfigExchange = new ConfigExchange(mOperator, clock, settings.link().isAmple());
        configureLink();
        mAdmission = new NodeAdmission(() -> mSettings.admission(), mReader, clock, log);
        mResignationPolicy = new ResignationPolicy(settings.link());
        mWriter =
                new JournalWriter(
                        shared,
                        JournalPartitions.PRIMARY,
                        new RoutedHandover(),
                        clock,
                        timers,
                        log);
        mConnectivity =
                new Connectivity(
                        clock, mReader::lastReadMs, mOperator::lastReadMs, mLink::lastFrameMs);
        mWriter.setCutOffCondition(mConnectivity::isCutOff);
        mElection =
                new OwnerElection(
                        shared,
                        mReader,
                        clock,
                        timers,
                        log,
                        settings.name(),
                        settings.peerAddress(),
                        settings.link(),
                        mLink,
                        mPlatform.vmActions(),
                        this::ownershipAcquired,
                        bound -> ThreadLocalRandom.current().nextLong(bound));
    }

    private void configureLink() {
        mReader.setStreaming(mLink::isAlive);
        mLink.setConfigExchange(mConfigExchange);
        mLink.setStandbyCondition(this::isStandby);
        mLink.setRelayedStartHandler(
                new RelayedStartHandler(mReader, mPlatform.workerClient(), mClock, mLog));
    }

    /** Stores records locally while this node owns, and rejects them otherwise. */
    private final class LocalHandover implements Handover {
        @Override
        public boolean isAvailable() {
            return mOwner.isPresent()
                    && Handover.canStore(mOwner.get().storedMsAgo(), mReader.latencyMs());
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
            mOwner.ifPresentOrElse(
                    o -> o.storeHandedOver(record, callback),
                    () -> callback.accept(StoreOutcome.NOT_STORED));
        }

        @Override
        public void reportUnstored(UnstoredJob job) {
            mOwner.ifPresent(o -> o.jobUnstored(job));
        }
    }

    /** Hands records over to the current owner, which may be this node. */
    private final class RoutedHandover implements Handover {
        private final Handover mLocal = mAdmission.guard(new LocalHandover());

        private Handover target() {
            return mOwner.isPresent() ? mLocal : mLink;
        }

        @Override
        public boolean isAvailable() {
            return target().isAvailable();
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
            target().handOver(record, callback);
        }

        @Override
        public void reportUnstored(UnstoredJob job) {
            target().reportUnstored(job);
        }
    }

    private JobQueries localJobQueries() {
        return new LocalJobQueries(
                mReader,
                mClock,
                () -> mOwner.map(OwnerSession::isLoaded).orElse(false),
                mAdmission::tryRefuse);
    }

    /** Queries the current owner, which may be this node. */
    private final class RoutedJobQueries implements JobQueries {
        private final JobQueries mLocal = localJobQueries();

        private JobQueries target() {
            return mOwner.isPresent() ? mLocal : mLink;
        }

        @Override
        public void job(String id, Consumer<Optional<JobSummary>> callback) {
            target().job(id, callback);
        }

        @Override
        public void pending(String queue, Consumer<Optional<Integer>> callback) {
            target().pending(queue, callback);
        }

        @Override
        public void mayRefuse(String id, int keepMs, Consumer<Boolean> callback) {
            target().mayRefuse(id, keepMs, callback);
        }
    }

    /** Binds all servers; must not be called on the event loop thread, which would deadlock. */
    public void listen() throws IOException {
        JobQueries ownerQueries = new RoutedJobQueries();
        CallerService service =
                new CallerService(
                        mOperator,
                        mReader,
                        mLink,
                        ownerQueries,
                        mWriter,
                        mPlatform.callerCodec(),
                        mSettings.keyLifetime(),
                        mAdmission.gate(ownerQueries, mLog, mMetrics),
                        mClock,
                        mTimers,
                        mLog,
                        mMetrics);
        int connections = mSettings.callerLimits().connections();
        BodyMemory memory = new BodyMemory(mSettings.callerLimits().bufferBytes());
        mCallerServer = bind(mSettings.callers(), connections, memory, service);
        mStream =
                JournalStream.listen(
                        mLoop,
                        mSettings.peers(),
                        mClock,
                        mTimers,
                        mSettings.link(),
                        mAdmission.guard(new LocalHandover()),
                        localJobQueries());
        mLink.setCapacityFollower(mAdmission.follower());
        mStream.setCapacityReporter(mAdmission.reporter());
        mStream.setConfigExchange(mConfigExchange);
        mReader.setRawListener(mStream::recordRead);
        bind(mSettings.readiness(), OPERATIONS_CONNECTIONS, memory, this::readiness);
        bind(mSettings.metrics(), OPERATIONS_CONNECTIONS, memory, this::metrics);
    }

    private HttpServer bind(
            InetSocketAddress address, int connections, BodyMemory memory, HttpHandler handler)
            throws IOException {
        ServerLimits limits =
                new ServerLimits(MAX_BODY_BYTES, connections, mSettings.callerLimits().requestMs());
        return HttpServer.bind(mLoop, address, limits, memory, handler);
    }

    /**
     * Applies changed settings. Limits take effect at once, or at the next take-over if they
     * concern the owner. Listen addresses take effect after a restart.
     */
    public void updateSettings(NodeSettings settings) {
        mSettings = settings;
    }

    /** Returns the address at which callers' requests arrive. */
    public InetSocketAddress callers() {
        return mCallerServer.address();
    }

    /** Starts the node; called on the event loop thread. */
    public void start() {
        mLog.line("start")
                .with("node", mSettings.name())
                .with("zone", mSettings.zone())
                .with("callers", mCallerServer.address())
                .write();
        mWriter.setMaxRecordBytes(mSettings.journal().recordBytes());
        mOperator.follow();
        mReader.follow();
        mElection.start();
        removeEndedJobs();
        checkNarrowLink();
    }

    private void removeEndedJobs() {
        mReader.registry().removeExpired(mClock.wallMs());
        mTimers.after(CLEANUP_INTERVAL_MS, this::removeEndedJobs);
    }

    private void recordApplied(JournalRecord record, Optional<JobProgress> job) {
        mElection.applyRecord(record);
        mAdmission.recordApplied(record);
        mOwner.ifPresent(o -> o.applyRecord(record, job));
    }

    /** Returns whether this node can replace an owner on a narrow link. */
    private boolean isStandby() {
        boolean current =
                mReader.isCaughtUp() && mClock.nowMs() - mReader.lastReadMs() < MAX_READ_AGE_MS;
        return mSettings.link().isAmple() && current && !mStopping;
    }

    private void checkNarrowLink() {
        mTimers.after(NARROW_CHECK_INTERVAL_MS, this::checkNarrowLink);
        if (mOwner.isPresent()
                && mResignationPolicy.shouldResign(mStream.lastStandbyMs(), mClock.nowMs())) {
            mLog.line("owner-narrow").with("node", mSettings.name()).write();
            OwnerSession owner = mOwner.get();
            mOwner = Optional.empty();
            resign(owner);
            mElection.ownershipLost();
        }
    }

    private void ownershipAcquired(Takeover taken) {
        mResignationPolicy.ownershipGained(mClock.nowMs());
        OwnerContext context =
                new OwnerContext(
                        mSettings,
                        mClock,
                        mTimers,
                        mLog,
                        mMetrics,
                        mOperator,
                        mReader,
                        mPlatform.log(),
                        new OwnerContext.Platform(
                                mPlatform.workers(),
                                mPlatform.workerClient(),
                                mPlatform.vmActions(),
                                mPlatform.placementAdvice(),
                                mPlatform.wavePublisher()),
                        mStream.startRelay(),
                        new RecordForwarder(mWriter, mClock, mTimers)::forward);
        OwnerSession session = new OwnerSession(context, taken, this::fenced);
        mOwner = Optional.of(session);
        mLink.setOwner(Optional.empty());
        mAdmission.ownershipAcquired(session);
        mStream.ownershipAcquired(taken.token(), session, session::areVmCallsFinished);
        session.start();
    }

    private void fenced() {
        mOwner = Optional.empty();
        mStream.ownershipLost();
        mElection.ownershipLost();
    }

    /**
     * Returns whether new callers may be routed here. A node that is still reading the journal is
     * ready while it can query the owner, so that nodes are available soon after a full restart.
     */
    private boolean isReady() {
        long now = mClock.nowMs();
        boolean current = mReader.isCaughtUp() && now - mReader.lastReadMs() < MAX_READ_AGE_MS;
        boolean throughOwner =
                mLink.isAvailable() && now - mOperator.lastReadMs() < MAX_READ_AGE_MS;
        return !mStopping
                && mOperator.config().isPresent()
                && (current || throughOwner)
                && !mConnectivity.isCutOff();
    }

    private void readiness(HttpRequest request, Consumer<HttpReply> reply) {
        boolean ready = isReady();
        if (ready != mReportedReady) {
            mReportedReady = ready;
            mLog.line("ready")
                    .with("ready", ready)
                    .with("caughtUp", mReader.isCaughtUp())
                    .with("ownerAvailable", mLink.isAvailable())
                    .write();
        }
        reply.accept(HttpReply.empty(ready ? OK : SERVICE_UNAVAILABLE));
    }

    private void metrics(HttpRequest request, Consumer<HttpReply> reply) {
        reply.accept(HttpReply.text(OK, mMetrics.text()));
    }

    /**
     * Shuts down gracefully: resigns ownership, stops accepting callers and finishes requests that
     * are in flight.
     */
    public void stop(Runnable ended) {
        mStopping = true;
        mLog.line("stop").with("node", mSettings.name()).write();
        mElection.stop();
        mOwner.ifPresent(this::resign);
        mOwner = Optional.empty();
        mCallerServer.disableKeepAlive();
        long now = mClock.nowMs();
        drain(now + MIN_LISTEN_MS, now + mSettings.graceMs() - EXIT_MARGIN_MS, ended);
    }

    /**
     * Records the resignation in the journal, then disconnects the followers, so that the next
     * owner can take over at once. If the store doesn't answer in time, the followers are
     * disconnected anyway; a late answer is ignored if this node owns again.
     */
    private void resign(OwnerSession owner) {
        Runnable disconnect =
                () -> {
                    if (mOwner.isEmpty()) {
                        mStream.ownershipLost();
                    }
                };
        owner.resign(disconnect);
        mTimers.after(RESIGN_TIMEOUT_MS, disconnect);
    }

    private void drain(long listenUntilMs, long endMs, Runnable ended) {
        long now = mClock.nowMs();
        if (now >= listenUntilMs) {
            mCallerServer.stopListening();
        }
        boolean drained = now >= listenUntilMs && mCallerServer.inFlight() == 0;
        if (drained || now >= endMs) {
            mLog.line("stopped").with("inFlight", mCallerServer.inFlight()).write();
            ended.run();
            return;
        }
        mTimers.after(DRAIN_CHECK_INTERVAL_MS, () -> drain(listenUntilMs, endMs, ended));
    }
}
