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
    private static final long SILENT_MS = 700;

    /** Pause before the owner is connected to again, in milliseconds. */
    private static final long RETRY_MS = 300;

    private static final int CONNECT_MS = 400;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final JournalReader mReader;
    private Optional<KnownOwner> mOwner = Optional.empty();
    private Optional<Channel> mChannel = Optional.empty();
    private final Map<Long, Consumer<StoreOutcome>> mHandedOver = new LinkedHashMap<>();
    private final OpenQuestions mQuestions;
    private long mLastHandover;
    private Runnable mWhenDoubtful = () -> {};
    private BooleanSupplier mStandsBy = () -> false;
    private boolean mOpening;
    private OwnerState mDoubt = OwnerState.SILENT;
    private long mDoubtToken = -1;
    private long mCallsOverToken = -1;
    private long mHeardMs = Long.MIN_VALUE / 2;
    private long mCurrentMs = Long.MIN_VALUE / 2;
    private long mCompleteMs = Long.MIN_VALUE / 2;

    /** This clock's time less the owner's, plus the shortest delay of this connection's frames. */
    private long mClockOffsetMs = Long.MAX_VALUE;

    private long mStoringMs = Long.MIN_VALUE / 2;

    public OwnerLink(
            EventLoop loop, Clock clock, Timers timers, NodeLog log, JournalReader reader) {
        mLoop = loop;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mReader = reader;
        mQuestions = new OpenQuestions(timers);
    }

    @Override
    public void owner(Optional<KnownOwner> owner) {
        if (!owner.equals(mOwner)) {
            mOwner = owner;
            close();
            open();
        }
    }

    @Override
    public void whenDoubtful(Runnable listener) {
        mWhenDoubtful = listener;
    }

    /** Whether the owner is to be told that this node could own, and has an ample link. */
    public void standsBy(BooleanSupplier standsBy) {
        mStandsBy = standsBy;
    }

    @Override
    public OwnerState state(long token) {
        if (token == mDoubtToken) {
            return mDoubt;
        }
        return isAlive() ? OwnerState.STREAMING : OwnerState.SILENT;
    }

    @Override
    public boolean areCallsOver(long token) {
        return token == mCallsOverToken && token == mDoubtToken;
    }

    /** Whether the owner was heard of a moment ago. */
    public boolean isAlive() {
        return mClock.nowMs() - mHeardMs < SILENT_MS;
    }

    @Override
    public long storingMs() {
        return mStoringMs;
    }

    /** When the book last had all that the owner had read. */
    public long currentMs() {
        return mCurrentMs;
    }

    /**
     * Until when the book is known to have every record of the journal, by what the owner has read.
     * Heartbeats alone prove nothing: an owner whose requests the store rejects still sends them,
     * and other nodes then append by themselves.
     */
    public long completeMs() {
        return mCompleteMs;
    }

    private void open() {
        if (mOwner.isEmpty() || mOpening || mChannel.isPresent()) {
            return;
        }
        mOpening = true;
        KnownOwner target = mOwner.get();
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(PeerChannels.with(() -> new Handler(target)))
                .connect(target.address())
                .addListener(f -> opened(target, f));
    }

    private void opened(KnownOwner target, Future<?> connected) {
        mOpening = false;
        boolean current = mOwner.equals(Optional.of(target));
        if (!connected.isSuccess() || !current) {
            mTimers.after(current ? RETRY_MS : 0, this::open);
        }
        // A refusal comes from a machine that runs without the owner's process; a connection that
        // takes too long says nothing, since the path may be cut.
        boolean refused =
                connected.cause() instanceof ConnectException
                        && !(connected.cause() instanceof ConnectTimeoutException);
        if (refused && current) {
            doubt(OwnerState.REFUSED);
        }
    }

    /** The owner is not to be heard of any more, and perhaps doesn't own. */
    private void doubt(OwnerState state) {
        mHeardMs = Long.MIN_VALUE / 2;
        if (mOwner.isEmpty() || state(mOwner.get().token()) == state) {
            return;
        }
        mDoubt = state;
        mDoubtToken = mOwner.get().token();
        mLog.line("owner-doubtful").with("owner", mOwner.get()).with("state", state).write();
        mWhenDoubtful.run();
    }

    private void close() {
        mChannel.ifPresent(Channel::close);
        mChannel = Optional.empty();
        loseAnswers();
    }

    /** What was handed over may be stored or not; the owner can't say so any more. */
    private void loseAnswers() {
        List<Consumer<StoreOutcome>> lost = List.copyOf(mHandedOver.values());
        mHandedOver.clear();
        lost.forEach(l -> l.accept(StoreOutcome.UNKNOWN));
        mQuestions.lose();
    }

    @Override
    public boolean isOpen() {
        boolean storing = Handover.isStoring(mClock.nowMs() - mStoringMs, mReader.answerMs());
        return storing && isAlive() && mChannel.map(Channel::isWritable).orElse(false);
    }

    @Override
    public void handOver(byte[] record, Consumer<StoreOutcome> then) {
        if (!isOpen()) {
            then.accept(StoreOutcome.NOT_STORED);
            return;
        }
        mHandedOver.put(++mLastHandover, then);
        PeerFrame frame = new PeerFrame.Handover(mLastHandover, record);
        mChannel.get().writeAndFlush(frame.encode());
    }

    @Override
    public void phase(String job, Consumer<Optional<JobPhase>> then) {
        JobPhase[] phases = JobPhase.values();
        ask(
                PeerFrame.Subject.JOB,
                job,
                v -> then.accept(v.filter(p -> p >= 0 && p < phases.length).map(p -> phases[p])));
    }

    @Override
    public void pending(String queue, Consumer<Optional<Integer>> then) {
        ask(PeerFrame.Subject.QUEUE, queue, then);
    }

    private void ask(PeerFrame.Subject subject, String name, Consumer<Optional<Integer>> then) {
        if (!isAlive() || !mChannel.map(Channel::isWritable).orElse(false)) {
            then.accept(Optional.empty());
            return;
        }
        PeerFrame question = new PeerFrame.Question(mQuestions.ask(then), subject, name);
        mChannel.get().writeAndFlush(question.encode());
    }

    /** Closes a connection that has gone silent. */
    @Override
    public void check() {
        if (mChannel.isPresent() && !isAlive()) {
            mLog.line("owner-silent")
                    .with("owner", mOwner)
                    .with("heardMsAgo", mClock.nowMs() - mHeardMs)
                    .write();
            close();
            mTimers.after(RETRY_MS, this::open);
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
        private final KnownOwner mTarget;
        private boolean mHeard;

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
            mHeardMs = mClock.nowMs();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws IOException {
            if (mChannel.equals(Optional.of(context.channel()))) {
                mHeard = true;
                take(PeerFrame.decode(bytes));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mChannel.equals(Optional.of(context.channel()))) {
                mLog.line("owner-disconnected").with("owner", mOwner).write();
                mChannel = Optional.empty();
                loseAnswers();
                mHeardMs = Long.MIN_VALUE / 2;
                mStoringMs = Long.MIN_VALUE / 2;
                // A new connection tells at once whether the owner is gone or only this one was.
                mTimers.after(mHeard ? 0 : RETRY_MS, OwnerLink.this::open);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void take(PeerFrame frame) {
        if (frame instanceof PeerFrame.Journal journal) {
            take(journal);
        } else if (frame instanceof PeerFrame.Heartbeat heartbeat) {
            take(heartbeat);
        } else if (frame instanceof PeerFrame.HandoverAnswer answer) {
            Consumer<StoreOutcome> then = mHandedOver.remove(answer.number());
            if (then != null) {
                then.accept(answer.outcome());
            }
        } else if (frame instanceof PeerFrame.Answer answer) {
            mQuestions.answered(answer.number(), answer.value());
        }
    }

    private void take(PeerFrame.Journal frame) {
        heard();
        mReader.fromOwner(frame.partition(), frame.offset(), frame.record());
        if (mReader.hasRead(frame.partition(), frame.offset())) {
            mCurrentMs = mClock.nowMs();
        }
    }

    private void take(PeerFrame.Heartbeat frame) {
        if (frame.token() == PeerFrame.NO_OWNER) {
            mCallsOverToken = frame.callsOver() ? mOwner.map(KnownOwner::token).orElse(-1L) : -1;
            doubt(OwnerState.GONE);
            close();
            mTimers.after(RETRY_MS, this::open);
            return;
        }
        heard();
        long now = mClock.nowMs();
        mStoringMs = now - frame.storedMsAgo();
        // A frame may wait in a full link for seconds; the shortest delay leaves that time out.
        mClockOffsetMs = Math.min(mClockOffsetMs, now - frame.nowMs());
        if (mReader.position().covers(frame.position())) {
            if (frame.narrow()) {
                sayStandby();
            }
            mCurrentMs = now;
            mCompleteMs = Math.max(mCompleteMs, frame.completeMs() + mClockOffsetMs);
        } else {
            // Records were sent before this node was connected.
            mReader.refresh(read -> {});
        }
    }

    private void sayStandby() {
        if (mStandsBy.getAsBoolean()) {
            mChannel.filter(Channel::isWritable)
                    .ifPresent(c -> c.writeAndFlush(new PeerFrame.Standby().encode()));
        }
    }

    private void heard() {
        mHeardMs = mClock.nowMs();
        mDoubtToken = -1;
    }
}
