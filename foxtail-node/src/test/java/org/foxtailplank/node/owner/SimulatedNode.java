package org.foxtailplank.node.owner;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.journal.RecordForwarder;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerMonitor;
import org.foxtailplank.node.peer.OwnerState;
import org.foxtailplank.node.peer.RelayedStartHandler;
import org.foxtailplank.node.peer.RelayedStarts;
import org.foxtailplank.node.peer.StartRelay;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.WavePublisher;
import org.foxtailplank.port.WorkerClient;

/** One process of a node: a journal reader, an election and, while it owns, an owner session. */
final class SimulatedNode {
    private static final int PARTITIONS = 3;
    private static final long SILENCE_MS = 700;
    private static final long RESIGN_TIMEOUT_MS = 150;
    private static final long RELAY_TIMEOUT_MS = 1800;

    private final TaskStartSimulation mSimulation;
    private final String mName;
    private final String mAddress;
    private final Random mRandom;
    private final SimulatedProcess mProcess;
    private final NodeLog mLog;
    private final NodeSettings mSettings;
    private final SharedLog mSharedLog;
    private final WorkerClient mWorkers;
    private final JournalReader mReader;
    private final OperatorFollower mOperator;
    private final OwnerElection mElection;
    private final RelayedStartHandler mRelayedStarts;
    private final RecordForwarder mForwarder;
    private final Monitor mMonitor = new Monitor();
    private Optional<OwnerSession> mOwner = Optional.empty();
    private Optional<OwnerSession> mLastOwner = Optional.empty();
    private boolean mReportsOwner;
    private long mTakeoverMs;

    SimulatedNode(
            TaskStartSimulation simulation,
            String name,
            String host,
            LinkRate link,
            Random random) {
        mSimulation = simulation;
        mName = name;
        mRandom = random;
        mProcess = new SimulatedProcess(simulation.time());
        mLog = NodeLog.silent(mProcess);
        mSettings = settings(name, new InetSocketAddress(host, 1), link);
        mAddress = mSettings.peerAddress();
        mSharedLog = simulation.store().connect(name, mProcess);
        mWorkers = simulation.fleet().workerClient(name, mProcess);
        mReader =
                new JournalReader(
                        mSharedLog,
                        mSettings.journal().partitions(),
                        mProcess,
                        mProcess,
                        mLog,
                        new JobRegistry(mSettings.journal().endedJobRetentionMs()),
                        this::recordApplied);
        mOperator = createOperator();
        mElection = createElection(link);
        mRelayedStarts = new RelayedStartHandler(mReader, mWorkers, mProcess, mLog);
        JournalWriter writer =
                new JournalWriter(
                        mSharedLog,
                        JournalPartitions.PRIMARY,
                        new NoHandover(),
                        mProcess,
                        mProcess,
                        mLog);
        mForwarder = new RecordForwarder(writer, mProcess, mProcess);
    }

    private OperatorFollower createOperator() {
        ServiceConfig service = new ServiceConfig(OwnerFleetTestBase.SERVICE, true, false);
        OperatorChange config =
                new OperatorChange.NewConfig(new FleetConfig(1, List.of(), List.of(service), 1000));
        return new OperatorFollower(
                new FixedFeed<>(List.of(new ChangeFeed.Item<>("config", Optional.of(config)))),
                mProcess,
                mProcess,
                mLog);
    }

    private OwnerElection createElection(LinkRate link) {
        return new OwnerElection(
                mSharedLog,
                mReader,
                mProcess,
                mProcess,
                mLog,
                mName,
                mAddress,
                link,
                mMonitor,
                mSimulation.fleet().vmClient(mName, mProcess),
                this::takeOver,
                bound -> (long) (mRandom.nextDouble() * bound));
    }

    private static NodeSettings settings(String name, InetSocketAddress peers, LinkRate link) {
        InetSocketAddress any = new InetSocketAddress(0);
        return new NodeSettings(
                name,
                "z",
                any,
                any,
                any,
                peers,
                new PlatformAddresses("", "", ""),
                new NodeSettings.JournalLimits(600_000, 120_000, PARTITIONS),
                OwnerFleetTestBase.LIMITS,
                true,
                link,
                1,
                KeyLifetime.UNLIMITED,
                false,
                AdmissionSettings.OFF,
                NodeSettings.CallerLimits.DEFAULTS);
    }

    void start() {
        mOperator.refresh();
        mReader.follow();
        mElection.start();
    }

    String name() {
        return mName;
    }

    String address() {
        return mAddress;
    }

    SimulatedProcess process() {
        return mProcess;
    }

    NodeLog log() {
        return mLog;
    }

    boolean isOwner() {
        return mOwner.isPresent();
    }

    long takeoverMs() {
        return mTakeoverMs;
    }

    private void recordApplied(JournalRecord record, Optional<JobProgress> job) {
        mElection.applyRecord(record);
        mOwner.ifPresent(o -> o.applyRecord(record, job));
    }

    private void takeOver(Takeover takeover) {
        mSimulation.runs().trace(mName + " owns: " + takeover);
        mSimulation.tookOver(this);
        WavePublisher waves = (n, done, callback) -> callback.accept(new SharedLog.Stored(0, 1));
        OwnerContext.Platform platform =
                new OwnerContext.Platform(
                        mSimulation.fleet().directory(mName, mProcess),
                        mWorkers,
                        mSimulation.fleet().vmClient(mName, mProcess),
                        null,
                        waves);
        OwnerContext context =
                new OwnerContext(
                        mSettings,
                        mProcess,
                        mProcess,
                        mLog,
                        new NodeMetrics(),
                        mOperator,
                        mReader,
                        mSharedLog,
                        platform,
                        new Relay(),
                        mForwarder::forward);
        OwnerSession session = new OwnerSession(context, takeover, this::ownershipLost);
        mOwner = Optional.of(session);
        mLastOwner = mOwner;
        mReportsOwner = true;
        mTakeoverMs = mProcess.nowMs();
        mMonitor.setOwner(Optional.empty());
        session.start();
    }

    private void ownershipLost() {
        mSimulation.runs().trace(mName + " lost its ownership");
        mOwner = Optional.empty();
        mReportsOwner = false;
        mElection.ownershipLost();
    }

    void resign() {
        if (mOwner.isEmpty() || mProcess.isPaused()) {
            return;
        }
        mSimulation.runs().trace(mName + " resigns");
        OwnerSession owner = mOwner.get();
        mOwner = Optional.empty();
        Runnable disconnect = () -> mReportsOwner = mOwner.isPresent();
        owner.resign(disconnect);
        mProcess.after(RESIGN_TIMEOUT_MS, disconnect);
        mElection.ownershipLost();
    }

    void kill() {
        mSimulation.runs().trace(mName + " is killed");
        mProcess.end();
    }

    /** What this process tells a peer that asks whether it owns. */
    private OwnerState reportedState() {
        return mReportsOwner ? OwnerState.STREAMING : OwnerState.GONE;
    }

    private boolean areVmCallsFinished() {
        return !mReportsOwner && mLastOwner.map(OwnerSession::areVmCallsFinished).orElse(true);
    }

    private long storedMsAgo() {
        return mOwner.map(OwnerSession::storedMsAgo).orElse(Long.MAX_VALUE / 4);
    }

    /** The owner as its connection shows it. */
    private final class Monitor implements OwnerMonitor {
        private Optional<KnownOwner> mKnown = Optional.empty();
        private Runnable mListener = () -> {};
        private long mGoneToken = -1;
        private long mFinishedToken = -1;
        private long mFinishedMs = Long.MIN_VALUE / 2;
        private long mHeardMs = Long.MIN_VALUE / 2;
        private long mStoredMs = Long.MIN_VALUE / 2;

        @Override
        public void setOwner(Optional<KnownOwner> owner) {
            mKnown = owner;
        }

        /** Asks the process at the owner's address, if it can be reached. */
        private void observe() {
            if (mKnown.isEmpty()) {
                return;
            }
            String host = mKnown.get().address().getAddress().getHostAddress();
            Optional<SimulatedNode> peer = mSimulation.node(host + ":1");
            boolean reached =
                    peer.isPresent()
                            && !peer.get().mProcess.isPaused()
                            && !mSimulation.network().isCut(mName, peer.get().mName);
            if (!reached) {
                return;
            }
            if (peer.get().reportedState() == OwnerState.GONE) {
                boolean isNew = mGoneToken != mKnown.get().token();
                mGoneToken = mKnown.get().token();
                if (peer.get().areVmCallsFinished()) {
                    mFinishedToken = mGoneToken;
                    mFinishedMs = mProcess.nowMs();
                }
                if (isNew) {
                    mListener.run();
                }
            } else {
                mHeardMs = mProcess.nowMs();
                mStoredMs = mHeardMs - peer.get().storedMsAgo();
            }
        }

        @Override
        public OwnerState state(long token) {
            if (token == mGoneToken) {
                return OwnerState.GONE;
            }
            return mProcess.nowMs() - mHeardMs < SILENCE_MS
                    ? OwnerState.STREAMING
                    : OwnerState.SILENT;
        }

        @Override
        public boolean areVmCallsFinished(long token, long sinceMs) {
            boolean reported = token == mFinishedToken && mFinishedMs >= sinceMs;
            return reported && token == mGoneToken;
        }

        @Override
        public long lastStoredMs() {
            return mStoredMs;
        }

        @Override
        public void onOwnerUnavailable(Runnable listener) {
            mListener = listener;
        }

        @Override
        public void checkSilence() {
            observe();
        }
    }

    /** Relays starts through another node. */
    private final class Relay implements StartRelay {
        @Override
        public boolean isAvailable() {
            return !mSimulation.others(SimulatedNode.this).isEmpty();
        }

        @Override
        public void start(
                WorkerClient.WorkerAddress worker,
                WorkerClient.StartCommand command,
                Consumer<Optional<CommandOutcome>> callback) {
            List<SimulatedNode> others = mSimulation.others(SimulatedNode.this);
            SimulatedNode follower = others.get(mRandom.nextInt(others.size()));
            SimulatedNetwork.Call<Optional<CommandOutcome>> call =
                    new SimulatedNetwork.Call<>(
                            mName,
                            follower.mName,
                            RELAY_TIMEOUT_MS,
                            0,
                            Optional.of(CommandOutcome.UNANSWERED),
                            Optional.of(CommandOutcome.UNANSWERED));
            mSimulation
                    .network()
                    .send(
                            mProcess,
                            call,
                            reply ->
                                    follower.mProcess.receive(
                                            () ->
                                                    RelayedStarts.handle(
                                                            follower.mRelayedStarts,
                                                            worker,
                                                            command,
                                                            a ->
                                                                    follower.mProcess.send(
                                                                            () ->
                                                                                    reply.accept(
                                                                                            a)))),
                            callback);
        }
    }

    private static final class NoHandover implements Handover {
        @Override
        public boolean isAvailable() {
            return false;
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
            callback.accept(StoreOutcome.NOT_STORED);
        }
    }
}
