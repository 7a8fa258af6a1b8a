package org.foxtailplank.node.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.job.JobSummary;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.schedule.UnstoredJob;

/**
 * Client side of the peer protocol: a follower's connection to the owner.
 *
 * <p>The first frame of each connection tells whether the peer owns. An owner whose process was
 * killed or that has resigned is detected without a timeout: its address refuses connections, or
 * the process there reports that it doesn't own.
 */
public final class OwnerLink implements OwnerMonitor, Handover, JobQueries {
    /** An owner counts as silent after this time without a frame: three heartbeats. */
    private static final long SILENCE_TIMEOUT_MS = 700;

    /** Delay before the next connection attempt, in milliseconds. */
    private static final long RETRY_MS = 300;

    private static final int CONNECT_TIMEOUT_MS = 400;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final JournalReader mReader;
    private Optional<KnownOwner> mOwner = Optional.empty();
    private Optional<Channel> mChannel = Optional.empty();
    private final Map<Long, Consumer<StoreOutcome>> mPendingHandovers = new LinkedHashMap<>();
    private final PendingQueries mPendingQueries;
    private long mLastHandover;
    private Runnable mUnavailableListener = () -> {};
    private BooleanSupplier mStandbyCondition = () -> false;
    private Optional<RelayedStartHandler> mRelayedStarts = Optional.empty();
    private Optional<ConfigExchange> mConfigExchange = Optional.empty();
    private Optional<CapacityFollower> mCapacity = Optional.empty();
    private boolean mRelayOffered;
    private boolean mConnecting;
    private OwnerState mUnavailableState = OwnerState.SILENT;
    private long mUnavailableToken = -1;
    private long mVmCallsFinishedToken = -1;
    private long mVmCallsFinishedMs = Long.MIN_VALUE / 2;
    private long mLastFrameMs = Long.MIN_VALUE / 2;
    private long mUpToDateMs = Long.MIN_VALUE / 2;
    private long mCompleteMs = Long.MIN_VALUE / 2;

    /** Offset of this clock to the owner's, plus the smallest frame delay on this connection. */
    private long mClockOffsetMs = Long.MAX_VALUE;

    private long mLastStoredMs = Long.MIN_VALUE / 2;

    public OwnerLink(
            EventLoop loop, Clock clock, Timers timers, NodeLog log, JournalReader reader) {
        mLoop = loop;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mReader = reader;
        mPendingQueries = new PendingQueries(timers);
    }

    @Override
    public void setOwner(Optional<KnownOwner> owner) {
        if (!owner.equals(mOwner)) {
            mOwner = owner;
            close();
            connect();
        }
    }

    @Override
    public void onOwnerUnavailable(Runnable listener) {
        mUnavailableListener = listener;
    }

    /** Sets the condition under which this node reports to the owner that it can take over. */
    public void setStandbyCondition(BooleanSupplier condition) {
        mStandbyCondition = condition;
    }

    /** Offers the owner to relay its starts, and sets the handler that sends them. */
    public void setRelayedStartHandler(RelayedStartHandler handler) {
        mRelayedStarts = Optional.of(handler);
    }

    /** Exchanges configurations with the owner. */
    public void setConfigExchange(ConfigExchange exchange) {
        mConfigExchange = Optional.of(exchange);
    }

    /** Receives the owner's capacity reports. */
    public void setCapacityFollower(CapacityFollower follower) {
        mCapacity = Optional.of(follower);
    }

    @Override
    public OwnerState state(long token) {
        if (token == mUnavailableToken) {
            return mUnavailableState;
        }
        return isAlive() ? OwnerState.STREAMING : OwnerState.SILENT;
    }

    @Override
    public boolean areVmCallsFinished(long token, long sinceMs) {
        boolean reported = token == mVmCallsFinishedToken && mVmCallsFinishedMs >= sinceMs;
        return reported && token == mUnavailableToken;
    }

    /** Returns whether a frame of the owner arrived within the silence timeout. */
    public boolean isAlive() {
        return mClock.nowMs() - mLastFrameMs < SILENCE_TIMEOUT_MS;
    }

    /** Returns when a frame of the owner last arrived. */
    public long lastFrameMs() {
        return mLastFrameMs;
    }

    @Override
    public long lastStoredMs() {
        return mLastStoredMs;
    }

    /** Returns when this node last had every record that the owner had read. */
    public long upToDateMs() {
        return mUpToDateMs;
    }

    /**
     * Returns the time up to which this node has every record of the journal, as far as the owner's
     * heartbeats prove it. Recent heartbeats alone are no proof: an owner whose requests the store
     * rejects still sends them while other nodes append.
     */
    public long completeMs() {
        return mCompleteMs;
    }

    private void connect() {
        if (mOwner.isEmpty() || mConnecting || mChannel.isPresent()) {
            return;
        }
        mConnecting = true;
        KnownOwner target = mOwner.get();
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(PeerFraming.initializer(() -> new OwnerHandler(target)))
                .connect(target.address())
                .addListener(f -> connectCompleted(target, f));
    }

    private void connectCompleted(KnownOwner target, Future<?> connected) {
        mConnecting = false;
        boolean current = mOwner.equals(Optional.of(target));
        if (!connected.isSuccess() || !current) {
            mTimers.after(current ? RETRY_MS : 0, this::connect);
        }
        // A refused connection means that the VM runs without the owner's process. A timeout proves
        // nothing, since the network may be partitioned.
        boolean refused =
                connected.cause() instanceof ConnectException
                        && !(connected.cause() instanceof ConnectTimeoutException);
        if (refused && current) {
            ownerUnavailable(OwnerState.REFUSED);
        }
    }

    /** Records that the owner can't be reached or doesn't own, and notifies the listener. */
    private void ownerUnavailable(OwnerState state) {
        mLastFrameMs = Long.MIN_VALUE / 2;
        if (mOwner.isEmpty() || state(mOwner.get().token()) == state) {
            return;
        }
        mUnavailableState = state;
        mUnavailableToken = mOwner.get().token();
        mLog.line("owner-doubtful").with("owner", mOwner.get()).with("state", state).write();
        mUnavailableListener.run();
    }

    private void close() {
        mChannel.ifPresent(Channel::close);
        mChannel = Optional.empty();
        failPendingRequests();
    }

    /** Completes handovers as unknown and queries without a result. */
    private void failPendingRequests() {
        List<Consumer<StoreOutcome>> failed = List.copyOf(mPendingHandovers.values());
        mPendingHandovers.clear();
        failed.forEach(c -> c.accept(StoreOutcome.UNKNOWN));
        mPendingQueries.failAll();
    }

    @Override
    public boolean isAvailable() {
        boolean storing = Handover.canStore(mClock.nowMs() - mLastStoredMs, mReader.latencyMs());
        return storing && isAlive() && mChannel.map(Channel::isWritable).orElse(false);
    }

    @Override
    public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
        if (!isAvailable()) {
            callback.accept(StoreOutcome.NOT_STORED);
            return;
        }
        mPendingHandovers.put(++mLastHandover, callback);
        PeerFrame frame = new PeerFrame.Handover(mLastHandover, record);
        mChannel.get().writeAndFlush(frame.encode());
    }

    @Override
    public void reportUnstored(UnstoredJob job) {
        if (isAlive()) {
            mChannel.filter(Channel::isWritable)
                    .ifPresent(c -> c.writeAndFlush(new PeerFrame.Unstored(job).encode()));
        }
    }

    @Override
    public void job(String id, Consumer<Optional<JobSummary>> callback) {
        sendQuery(
                PeerFrame.Subject.JOB,
                id,
                Optional.empty(),
                response ->
                        callback.accept(response.flatMap(PeerFrame.QueryResponse::toJobSummary)));
    }

    @Override
    public void pending(String queue, Consumer<Optional<Integer>> callback) {
        sendQuery(
                PeerFrame.Subject.QUEUE,
                queue,
                Optional.empty(),
                response -> callback.accept(response.flatMap(PeerFrame.QueryResponse::value)));
    }

    @Override
    public void mayRefuse(String id, int keepMs, Consumer<Boolean> callback) {
        sendQuery(
                PeerFrame.Subject.REFUSAL,
                id,
                Optional.of(keepMs),
                response ->
                        callback.accept(
                                response.flatMap(PeerFrame.QueryResponse::value)
                                        .equals(Optional.of(1))));
    }

    private void sendQuery(
            PeerFrame.Subject subject,
            String name,
            Optional<Integer> value,
            Consumer<Optional<PeerFrame.QueryResponse>> callback) {
        if (!isAlive() || !mChannel.map(Channel::isWritable).orElse(false)) {
            callback.accept(Optional.empty());
            return;
        }
        PeerFrame query = new PeerFrame.Query(mPendingQueries.add(callback), subject, name, value);
        mChannel.get().writeAndFlush(query.encode());
    }

    /**
     * Closes a connection on which no frame arrived within the silence timeout.
     *
     * <p>The journal is read at once: a record that the owner stored before it went silent counts
     * as its activity when it is read. Read by each node with its next poll, over a second later at
     * some, it would postpone their attempts to take over by different times, and nodes with narrow
     * links would go before those with ample ones.
     */
    @Override
    public void checkSilence() {
        if (mChannel.isPresent() && !isAlive()) {
            mLog.line("owner-silent")
                    .with("owner", mOwner)
                    .with("heardMsAgo", mClock.nowMs() - mLastFrameMs)
                    .write();
            close();
            mTimers.after(RETRY_MS, this::connect);
            mReader.refresh(read -> {});
        }
    }

    private final class OwnerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final KnownOwner mTarget;
        private boolean mFrameReceived;

        OwnerHandler(KnownOwner target) {
            mTarget = target;
        }

        /** Returns whether the connection is to the current owner. */
        private boolean isCurrent() {
            return mOwner.equals(Optional.of(mTarget));
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!isCurrent()) {
                // Frames of a former owner say nothing about the current one.
                context.close();
                return;
            }
            mChannel = Optional.of(context.channel());
            mClockOffsetMs = Long.MAX_VALUE;
            mRelayOffered = false;
            mLastFrameMs = mClock.nowMs();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws IOException {
            if (mChannel.equals(Optional.of(context.channel()))) {
                mFrameReceived = true;
                PeerFrame frame = PeerFrame.decode(bytes);
                if (mConfigExchange.isEmpty()
                        || !mConfigExchange.get().handle(frame, context.channel())) {
                    handle(frame);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mChannel.equals(Optional.of(context.channel()))) {
                mLog.line("owner-disconnected").with("owner", mOwner).write();
                mChannel = Optional.empty();
                failPendingRequests();
                mLastFrameMs = Long.MIN_VALUE / 2;
                mLastStoredMs = Long.MIN_VALUE / 2;
                // Reconnecting tells whether the owner is gone or only the connection was lost.
                mTimers.after(mFrameReceived ? 0 : RETRY_MS, OwnerLink.this::connect);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void handle(PeerFrame frame) throws IOException {
        if (frame instanceof PeerFrame.StreamedRecord record) {
            handle(record);
        } else if (frame instanceof PeerFrame.Heartbeat heartbeat) {
            handle(heartbeat);
        } else if (frame instanceof PeerFrame.HandoverResponse response) {
            Consumer<StoreOutcome> callback = mPendingHandovers.remove(response.number());
            if (callback != null) {
                callback.accept(response.outcome());
            }
        } else if (frame instanceof PeerFrame.QueryResponse response) {
            mPendingQueries.complete(response.number(), Optional.of(response));
        } else if (frame instanceof PeerFrame.RelayedStart start) {
            relay(start);
        } else if (frame instanceof PeerFrame.CapacityReport report && mCapacity.isPresent()) {
            mCapacity.get().received(report, mChannel.orElseThrow(), mClockOffsetMs);
        }
    }

    /** Sends a relayed start and returns its outcome on the connection that it came from. */
    private void relay(PeerFrame.RelayedStart start) {
        Optional<Channel> origin = mChannel;
        mRelayedStarts.ifPresent(
                handler ->
                        handler.handle(
                                start,
                                outcome ->
                                        origin.ifPresent(
                                                c ->
                                                        c.writeAndFlush(
                                                                new PeerFrame.RelayResponse(
                                                                                start.number(),
                                                                                outcome)
                                                                        .encode()))));
    }

    private void offerRelay() {
        if (!mRelayOffered && mRelayedStarts.isPresent()) {
            mRelayOffered = true;
            mChannel.ifPresent(c -> c.writeAndFlush(new PeerFrame.RelayOffer().encode()));
        }
    }

    private void handle(PeerFrame.StreamedRecord frame) {
        frameReceived();
        mReader.applyStreamed(frame.partition(), frame.offset(), frame.record());
        if (mReader.hasRead(frame.partition(), frame.offset())) {
            mUpToDateMs = mClock.nowMs();
        }
    }

    private void handle(PeerFrame.Heartbeat frame) {
        if (frame.token() == PeerFrame.NO_OWNER) {
            mVmCallsFinishedToken =
                    frame.vmCallsFinished() ? mOwner.map(KnownOwner::token).orElse(-1L) : -1;
            mVmCallsFinishedMs = mClock.nowMs();
            ownerUnavailable(OwnerState.GONE);
            close();
            mTimers.after(RETRY_MS, this::connect);
            return;
        }
        frameReceived();
        offerRelay();
        mConfigExchange.ifPresent(
                e -> mChannel.ifPresent(c -> e.heartbeatReceived(frame.configVersion(), c)));
        mCapacity.ifPresent(c -> mChannel.ifPresent(c::heartbeatReceived));
        long now = mClock.nowMs();
        mLastStoredMs = now - frame.storedMsAgo();
        // The smallest delay excludes the time that later frames spend queued on a full link.
        mClockOffsetMs = Math.min(mClockOffsetMs, now - frame.nowMs());
        if (mReader.position().covers(frame.position())) {
            if (frame.narrow()) {
                sendStandby();
            }
            mUpToDateMs = now;
            mCompleteMs = Math.max(mCompleteMs, frame.completeMs() + mClockOffsetMs);
        } else {
            // Records were dropped, or sent before this node was connected.
            mReader.catchUpTo(frame.position());
        }
    }

    private void sendStandby() {
        if (mStandbyCondition.getAsBoolean()) {
            mChannel.filter(Channel::isWritable)
                    .ifPresent(c -> c.writeAndFlush(new PeerFrame.Standby().encode()));
        }
    }

    private void frameReceived() {
        mLastFrameMs = mClock.nowMs();
        mUnavailableToken = -1;
    }
}
