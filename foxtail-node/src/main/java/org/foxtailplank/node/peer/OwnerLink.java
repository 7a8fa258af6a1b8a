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
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;

/**
 * A follower's end: a connection to the owner, over which the journal comes.
 *
 * <p>Each connection begins with the other end's word on whether it owns. An owner whose process
 * was killed, or that has left, shows so within milliseconds: its address refuses connections, or a
 * process answers there that doesn't own. Silence alone would have to be waited out.
 */
public final class OwnerLink implements OwnerSigns, Handover, OwnerBook {
    /** An owner that is silent for so long may be gone, in milliseconds: three heartbeats. */
    private static final long SILENCE_TIMEOUT_MS = 700;

    /** Pause before the owner is connected to again, in milliseconds. */
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
    private final OpenQuestions mPendingQueries;
    private long mLastHandover;
    private Runnable mUnavailableListener = () -> {};
    private BooleanSupplier mStandbyCondition = () -> false;
    private boolean mConnecting;
    private OwnerState mUnavailableState = OwnerState.SILENT;
    private long mUnavailableToken = -1;
    private long mCallsOverToken = -1;
    private long mLastFrameMs = Long.MIN_VALUE / 2;
    private long mUpToDateMs = Long.MIN_VALUE / 2;
    private long mCompleteMs = Long.MIN_VALUE / 2;

    /** This clock's time less the owner's, plus the shortest delay of this connection's frames. */
    private long mClockOffsetMs = Long.MAX_VALUE;

    private long mLastStoredMs = Long.MIN_VALUE / 2;

    public OwnerLink(
            EventLoop loop, Clock clock, Timers timers, NodeLog log, JournalReader reader) {
        mLoop = loop;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mReader = reader;
        mPendingQueries = new OpenQuestions(timers);
    }

    @Override
    public void owner(Optional<KnownOwner> owner) {
        if (!owner.equals(mOwner)) {
            mOwner = owner;
            close();
            connect();
        }
    }

    @Override
    public void whenDoubtful(Runnable listener) {
        mUnavailableListener = listener;
    }

    /** Whether the owner is to be told that this node could own, and has an ample link. */
    public void setStandbyCondition(BooleanSupplier standsBy) {
        mStandbyCondition = standsBy;
    }

    @Override
    public OwnerState state(long token) {
        if (token == mUnavailableToken) {
            return mUnavailableState;
        }
        return isAlive() ? OwnerState.STREAMING : OwnerState.SILENT;
    }

    @Override
    public boolean areCallsOver(long token) {
        return token == mCallsOverToken && token == mUnavailableToken;
    }

    /** Whether the owner was heard of a moment ago. */
    public boolean isAlive() {
        return mClock.nowMs() - mLastFrameMs < SILENCE_TIMEOUT_MS;
    }

    @Override
    public long storingMs() {
        return mLastStoredMs;
    }

    /** When the book last had all that the owner had read. */
    public long upToDateMs() {
        return mUpToDateMs;
    }

    /**
     * Until when the book is known to have every record of the journal, by what the owner has read.
     * Heartbeats alone prove nothing: an owner whose requests the store rejects still sends them,
     * and other nodes then append by themselves.
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
                .handler(PeerFraming.initializer(() -> new Handler(target)))
                .connect(target.address())
                .addListener(f -> connectCompleted(target, f));
    }

    private void connectCompleted(KnownOwner target, Future<?> connected) {
        mConnecting = false;
        boolean current = mOwner.equals(Optional.of(target));
        if (!connected.isSuccess() || !current) {
            mTimers.after(current ? RETRY_MS : 0, this::connect);
        }
        // A refusal comes from a machine that runs without the owner's process; a connection that
        // takes too long says nothing, since the path may be cut.
        boolean refused =
                connected.cause() instanceof ConnectException
                        && !(connected.cause() instanceof ConnectTimeoutException);
        if (refused && current) {
            ownerUnavailable(OwnerState.REFUSED);
        }
    }

    /** The owner is not to be heard of any more, and perhaps doesn't own. */
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

    /** What was handed over may be stored or not; the owner can't say so any more. */
    private void failPendingRequests() {
        List<Consumer<StoreOutcome>> lost = List.copyOf(mPendingHandovers.values());
        mPendingHandovers.clear();
        lost.forEach(l -> l.accept(StoreOutcome.UNKNOWN));
        mPendingQueries.failAll();
    }

    @Override
    public boolean isOpen() {
        boolean storing = Handover.isStoring(mClock.nowMs() - mLastStoredMs, mReader.answerMs());
        return storing && isAlive() && mChannel.map(Channel::isWritable).orElse(false);
    }

    @Override
    public void handOver(byte[] record, Consumer<StoreOutcome> then) {
        if (!isOpen()) {
            then.accept(StoreOutcome.NOT_STORED);
            return;
        }
        mPendingHandovers.put(++mLastHandover, then);
        PeerFrame frame = new PeerFrame.Handover(mLastHandover, record);
        mChannel.get().writeAndFlush(frame.encode());
    }

    @Override
    public void phase(String job, Consumer<Optional<JobPhase>> then) {
        JobPhase[] phases = JobPhase.values();
        sendQuery(
                PeerFrame.Subject.JOB,
                job,
                v -> then.accept(v.filter(p -> p >= 0 && p < phases.length).map(p -> phases[p])));
    }

    @Override
    public void pending(String queue, Consumer<Optional<Integer>> then) {
        sendQuery(PeerFrame.Subject.QUEUE, queue, then);
    }

    private void sendQuery(
            PeerFrame.Subject subject, String name, Consumer<Optional<Integer>> then) {
        if (!isAlive() || !mChannel.map(Channel::isWritable).orElse(false)) {
            then.accept(Optional.empty());
            return;
        }
        PeerFrame question = new PeerFrame.Query(mPendingQueries.add(then), subject, name);
        mChannel.get().writeAndFlush(question.encode());
    }

    /** Closes a connection that has gone silent. */
    @Override
    public void check() {
        if (mChannel.isPresent() && !isAlive()) {
            mLog.line("owner-silent")
                    .with("owner", mOwner)
                    .with("heardMsAgo", mClock.nowMs() - mLastFrameMs)
                    .write();
            close();
            mTimers.after(RETRY_MS, this::connect);
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
        private final KnownOwner mTarget;
        private boolean mFrameReceived;

        Handler(KnownOwner target) {
            mTarget = target;
        }

        /** Whether the journal still names the owner for which the connection was opened. */
        private boolean isCurrent() {
            return mOwner.equals(Optional.of(mTarget));
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!isCurrent()) {
                // The journal named another owner meanwhile; what this one says is not about it.
                context.close();
                return;
            }
            mChannel = Optional.of(context.channel());
            mClockOffsetMs = Long.MAX_VALUE;
            mLastFrameMs = mClock.nowMs();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws IOException {
            if (mChannel.equals(Optional.of(context.channel()))) {
                mFrameReceived = true;
                handle(PeerFrame.decode(bytes));
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
                // A new connection tells at once whether the owner is gone or only this one was.
                mTimers.after(mFrameReceived ? 0 : RETRY_MS, OwnerLink.this::connect);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void handle(PeerFrame frame) {
        if (frame instanceof PeerFrame.StreamedRecord journal) {
            handle(journal);
        } else if (frame instanceof PeerFrame.Heartbeat heartbeat) {
            handle(heartbeat);
        } else if (frame instanceof PeerFrame.HandoverResponse answer) {
            Consumer<StoreOutcome> then = mPendingHandovers.remove(answer.number());
            if (then != null) {
                then.accept(answer.outcome());
            }
        } else if (frame instanceof PeerFrame.QueryResponse answer) {
            mPendingQueries.complete(answer.number(), answer.value());
        }
    }

    private void handle(PeerFrame.StreamedRecord frame) {
        frameReceived();
        mReader.fromOwner(frame.partition(), frame.offset(), frame.record());
        if (mReader.hasRead(frame.partition(), frame.offset())) {
            mUpToDateMs = mClock.nowMs();
        }
    }

    private void handle(PeerFrame.Heartbeat frame) {
        if (frame.token() == PeerFrame.NO_OWNER) {
            mCallsOverToken = frame.callsOver() ? mOwner.map(KnownOwner::token).orElse(-1L) : -1;
            ownerUnavailable(OwnerState.GONE);
            close();
            mTimers.after(RETRY_MS, this::connect);
            return;
        }
        frameReceived();
        long now = mClock.nowMs();
        mLastStoredMs = now - frame.storedMsAgo();
        // A frame may wait in a full link for seconds; the shortest delay leaves that time out.
        mClockOffsetMs = Math.min(mClockOffsetMs, now - frame.nowMs());
        if (mReader.position().covers(frame.position())) {
            if (frame.narrow()) {
                sendStandby();
            }
            mUpToDateMs = now;
            mCompleteMs = Math.max(mCompleteMs, frame.completeMs() + mClockOffsetMs);
        } else {
            // Records were sent before this node was connected.
            mReader.refresh(read -> {});
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
