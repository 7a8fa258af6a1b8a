package org.foxtailplank.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.adapter.AdapterLimits;
import org.foxtailplank.adapter.UsersPlatform;
import org.foxtailplank.http.HttpClient;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpRequest;
import org.foxtailplank.http.HttpServer;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.caller.CallerService;
import org.foxtailplank.node.caller.OwnBook;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.owner.NarrowOwner;
import org.foxtailplank.node.owner.OwnerParts;
import org.foxtailplank.node.owner.OwnerWork;
import org.foxtailplank.node.owner.Ownership;
import org.foxtailplank.node.owner.TakeOver;
import org.foxtailplank.node.peer.JournalStream;
import org.foxtailplank.node.peer.OwnerBook;
import org.foxtailplank.node.peer.OwnerLink;
import org.foxtailplank.port.SharedLog;

/** One node, put together; all of it runs on one event loop's thread. */
public final class Node {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Largest body of a caller's request, in bytes: the text, and steps by the hundred. */
    private static final int MAX_BODY_BYTES = 256 << 10;

    /** How long a connection may take to open, in milliseconds: some round trips. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Most connections to the store: waiting reads, appends and refreshes at a time; VMs alike. */
    private static final int STORE_CONNECTIONS = 12;

    /** Most connections to one worker: a waiting look and starts side by side. */
    private static final int WORKER_CONNECTIONS = 6;

    /** A node that could not read the journal for so long sends callers elsewhere. */
    private static final long MAX_READ_AGE_MS = 2500;

    /** How often ended jobs are looked through, in milliseconds. */
    private static final long CLEANUP_INTERVAL_MS = 5000;

    /** How long a leaving owner waits for the store, in milliseconds: some of its answers. */
    private static final long LEAVE_TIMEOUT_MS = 150;

    /** How often a stopping node looks whether it has answered everything, in milliseconds. */
    private static final long DRAIN_CHECK_INTERVAL_MS = 20;

    /** How often an owner looks whether it gives its place up for its link's sake. */
    private static final long NARROW_CHECK_INTERVAL_MS = 200;

    /** Kept of the grace time for the end of the process, in milliseconds. */
    private static final long EXIT_MARGIN_MS = 700;

    /** How long a stopping node goes on listening: callers are sent elsewhere by then. */
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
    private final Ownership mOwnership;
    private final NarrowOwner mNarrowOwner;

    private Optional<OwnerWork> mOwner = Optional.empty();
    private HttpServer mCallerServer;
    private JournalStream mStream;
    private boolean mStopping;
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
                        HttpClient.resetting(loop, CONNECT_TIMEOUT_MS, STORE_CONNECTIONS),
                        settings.platform(),
                        AdapterLimits.DEFAULTS,
                        clock::nowMs);
        SharedLog shared = mPlatform.log();
        JobBook book = new JobBook(settings.journal().statusMs());
        mOperator = new OperatorFollower(mPlatform.operatorOrders(), clock, timers, log);
        mReader =
                new JournalReader(
                        shared,
                        settings.journal().partitions(),
                        clock,
                        timers,
                        log,
                        book,
                        this::recordApplied);
        mLink = new OwnerLink(loop, clock, timers, log, mReader);
        mReader.streaming(mLink::isAlive);
        mLink.setStandbyCondition(this::isStandby);
        mNarrowOwner = new NarrowOwner(settings.link());
        mWriter =
                new JournalWriter(
                        shared, JournalPartition.JOURNAL, new RoutedHandover(), clock, timers, log);
        mOwnership =
                new Ownership(
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
                        this::ownershipAcquired);
    }

    /** Records that other nodes hand over: stored only while this node owns. */
    private final class LocalHandover implements Handover {
        @Override
        public boolean isOpen() {
            return mOwner.isPresent()
                    && Handover.isStoring(mOwner.get().storedMsAgo(), mReader.answerMs());
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> then) {
            mOwner.ifPresentOrElse(
                    o -> o.handedOver(record, then), () -> then.accept(StoreOutcome.NOT_STORED));
        }
    }

    /** Records of this node's callers: to the owner, wherever it is. */
    private final class RoutedHandover implements Handover {
        private final Handover mLocal = new LocalHandover();

        private Handover target() {
            return mOwner.isPresent() ? mLocal : mLink;
        }

        @Override
        public boolean isOpen() {
            return target().isOpen();
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> then) {
            target().handOver(record, then);
        }
    }

    private OwnerBook localJobQueries() {
        return new OwnBook(mReader, mClock, () -> mOwner.map(OwnerWork::isLoaded).orElse(false));
    }

    /** The owner's book, wherever it is. */
    private final class RoutedJobQueries implements OwnerBook {
        private final OwnerBook mLocal = localJobQueries();

        private OwnerBook target() {
            return mOwner.isPresent() ? mLocal : mLink;
        }

        @Override
        public void phase(String job, Consumer<Optional<JobPhase>> then) {
            target().phase(job, then);
        }

        @Override
        public void pending(String queue, Consumer<Optional<Integer>> then) {
            target().pending(queue, then);
        }
    }

    /** Listens; called on any thread but the event loop's, which would wait for itself. */
    public void listen() throws IOException {
        CallerService service =
                new CallerService(
                        mOperator,
                        mReader,
                        mLink,
                        new RoutedJobQueries(),
                        mWriter,
                        mPlatform.callerBodies(),
                        mClock,
                        mTimers,
                        mLog,
                        mMetrics);
        mCallerServer = HttpServer.bind(mLoop, mSettings.callers(), MAX_BODY_BYTES, service);
        mStream =
                JournalStream.listen(
                        mLoop,
                        mSettings.peers(),
                        mClock,
                        mTimers,
                        mSettings.link(),
                        new LocalHandover(),
                        localJobQueries());
        mReader.tap(mStream::recordRead);
        HttpServer.bind(mLoop, mSettings.readiness(), MAX_BODY_BYTES, this::readiness);
        HttpServer.bind(mLoop, mSettings.metrics(), MAX_BODY_BYTES, this::metrics);
    }

    /**
     * Settings have changed. Bounds hold from now on, for the owner from its next take-over;
     * addresses that this node listens on stay until it is started again.
     */
    public void updateSettings(NodeSettings settings) {
        mSettings = settings;
    }

    /** Where callers' requests arrive. */
    public InetSocketAddress callers() {
        return mCallerServer.address();
    }

    /** Begins to work; called on the event loop's thread. */
    public void start() {
        mLog.line("start")
                .with("node", mSettings.name())
                .with("zone", mSettings.zone())
                .with("callers", mCallerServer.address())
                .write();
        mOperator.follow();
        mReader.follow();
        mOwnership.watch();
        removeEndedJobs();
        checkNarrowLink();
    }

    private void removeEndedJobs() {
        mReader.book().forgetEnded(mClock.wallMs());
        mTimers.after(CLEANUP_INTERVAL_MS, this::removeEndedJobs);
    }

    private void recordApplied(JournalRecord record, Optional<JobEntry> job) {
        mOwnership.seen(record);
        mOwner.ifPresent(o -> o.recorded(record, job));
    }

    /** Whether this node would be a better owner than one with a narrow link. */
    private boolean isStandby() {
        boolean reads =
                mReader.isCaughtUp() && mClock.nowMs() - mReader.lastReadMs() < MAX_READ_AGE_MS;
        return mSettings.link().isAmple() && reads && !mStopping;
    }

    private void checkNarrowLink() {
        mTimers.after(NARROW_CHECK_INTERVAL_MS, this::checkNarrowLink);
        if (mOwner.isPresent() && mNarrowOwner.givesUp(mStream.lastStandbyMs(), mClock.nowMs())) {
            mLog.line("owner-narrow").with("node", mSettings.name()).write();
            OwnerWork owner = mOwner.get();
            mOwner = Optional.empty();
            resign(owner);
            mOwnership.lost();
        }
    }

    private void ownershipAcquired(TakeOver taken) {
        mNarrowOwner.owns(mClock.nowMs());
        OwnerParts parts =
                new OwnerParts(
                        mSettings,
                        mClock,
                        mTimers,
                        mLog,
                        mMetrics,
                        mOperator,
                        mReader,
                        mPlatform.log(),
                        new OwnerParts.Platform(
                                mPlatform.workers(),
                                mPlatform.workerOrders(),
                                mPlatform.vmActions(),
                                mPlatform.advice(),
                                mPlatform.waveBoard()));
        OwnerWork work = new OwnerWork(parts, taken, this::fenced);
        mOwner = Optional.of(work);
        mLink.owner(Optional.empty());
        mStream.ownershipAcquired(taken.token(), work, work::areCallsOver);
        work.start();
    }

    private void fenced() {
        mOwner = Optional.empty();
        mStream.ownershipLost();
        mOwnership.lost();
    }

    /**
     * Whether new callers are welcome. A node that still reads the journal serves them through the
     * owner; without that, most of a zone's nodes would be out of service for seconds after all
     * were lost, as long as their links take to carry the journal.
     */
    private boolean isReady() {
        long now = mClock.nowMs();
        boolean current = mReader.isCaughtUp() && now - mReader.lastReadMs() < MAX_READ_AGE_MS;
        boolean throughOwner = mLink.isOpen() && now - mOperator.lastReadMs() < MAX_READ_AGE_MS;
        return !mStopping && mOperator.config().isPresent() && (current || throughOwner);
    }

    private void readiness(HttpRequest request, Consumer<HttpReply> reply) {
        reply.accept(HttpReply.empty(isReady() ? OK : SERVICE_UNAVAILABLE));
    }

    private void metrics(HttpRequest request, Consumer<HttpReply> reply) {
        reply.accept(HttpReply.text(OK, mMetrics.text()));
    }

    /**
     * A planned stop. New callers are sent elsewhere, those that are connected are answered to the
     * last request, and another node may own the jobs at once.
     */
    public void stop(Runnable ended) {
        mStopping = true;
        mLog.line("stop").with("node", mSettings.name()).write();
        mOwnership.stop();
        mOwner.ifPresent(this::resign);
        mOwner = Optional.empty();
        mCallerServer.stopKeepingOpen();
        long now = mClock.nowMs();
        drain(now + MIN_LISTEN_MS, now + mSettings.graceMs() - EXIT_MARGIN_MS, ended);
    }

    /**
     * Followers are told that nobody owns once the journal says so: the next owner then finds its
     * predecessor gone and takes over at once. A store that doesn't answer is not waited for; if it
     * answers late, this node may own again.
     */
    private void resign(OwnerWork owner) {
        Runnable disown =
                () -> {
                    if (mOwner.isEmpty()) {
                        mStream.ownershipLost();
                    }
                };
        owner.leave(disown);
        mTimers.after(LEAVE_TIMEOUT_MS, disown);
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
