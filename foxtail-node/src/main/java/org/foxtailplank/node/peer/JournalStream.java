package org.foxtailplank.node.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.Handover;

/** The owner's end: sends the journal and heartbeats to the nodes that are connected. */
public final class JournalStream {
    /** How often a heartbeat is sent, in milliseconds. */
    private static final long HEARTBEAT_INTERVAL_MS = 200;

    /**
     * How long records are gathered before they are sent on, in milliseconds: little beside the
     * second and more that a caller's shortest job takes.
     */
    private static final long BATCH_DELAY_MS = 20;

    /** Records beyond this number of bytes are sent at once: half of what may wait to be sent. */
    private static final int MAX_BATCH_BYTES = 32 << 10;

    private final boolean mNarrow;
    private final Clock mClock;
    private final Timers mTimers;
    private final StreamBudget mBudget;
    private final Handover mHandover;
    private final OwnerBook mJobQueries;
    private final Set<Channel> mFollowers = new HashSet<>();
    private final ByteBuf mBatch = Unpooled.buffer();
    private boolean mFlushScheduled;
    private long mFlushCount;
    private long mSentBytes;
    private InetSocketAddress mAddress;
    private long mToken = PeerFrame.NO_OWNER;
    private OwnedJournal mJournal = OwnedJournal.NONE;
    private long mLastStandbyMs = Long.MIN_VALUE / 2;
    private BooleanSupplier mCallsOver = () -> true;

    private JournalStream(
            Clock clock, Timers timers, LinkRate link, Handover handover, OwnerBook book) {
        mNarrow = !link.isAmple();
        mClock = clock;
        mTimers = timers;
        mBudget = new StreamBudget(link, clock.nowMs());
        mHandover = handover;
        mJobQueries = book;
    }

    /**
     * Listens for followers; until this node owns they hear that it doesn't.
     *
     * @param link the node's network link
     * @param handover what stores the records that followers hand over
     * @param book what followers' questions are answered from
     */
    public static JournalStream listen(
            EventLoop loop,
            InetSocketAddress address,
            Clock clock,
            Timers timers,
            LinkRate link,
            Handover handover,
            OwnerBook book)
            throws IOException {
        JournalStream stream = new JournalStream(clock, timers, link, handover, book);
        var bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(PeerFraming.initializer(() -> stream.new FollowerHandler()))
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        stream.mAddress = (InetSocketAddress) bound.channel().localAddress();
        return stream;
    }

    /** The address, with the port that the system chose. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** When a follower last said that it could own and has an ample link. */
    public long lastStandbyMs() {
        return mLastStandbyMs;
    }

    /** How often gathered frames were sent. */
    long flushCount() {
        return mFlushCount;
    }

    /** Bytes that were sent to each follower. */
    long sentBytes() {
        return mSentBytes;
    }

    private final class FollowerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            mFollowers.add(context.channel());
            // The first frame tells who looks for the owner whether this node is it.
            context.writeAndFlush(newHeartbeat().encode());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws IOException {
            PeerFrame frame = PeerFrame.decode(bytes);
            if (frame instanceof PeerFrame.Handover handover) {
                mHandover.handOver(
                        handover.record(),
                        o -> {
                            PeerFrame answer = new PeerFrame.HandoverResponse(handover.number(), o);
                            context.writeAndFlush(answer.encode());
                        });
            } else if (frame instanceof PeerFrame.Query question) {
                respond(question, context);
            } else if (frame instanceof PeerFrame.Standby) {
                mLastStandbyMs = mClock.nowMs();
            }
        }

        private void respond(PeerFrame.Query question, ChannelHandlerContext context) {
            Consumer<Optional<Integer>> then =
                    v ->
                            context.writeAndFlush(
                                    new PeerFrame.QueryResponse(question.number(), v).encode());
            switch (question.subject()) {
                case JOB ->
                        mJobQueries.phase(question.name(), p -> then.accept(p.map(Enum::ordinal)));
                case QUEUE -> mJobQueries.pending(question.name(), then);
                default -> throw new IllegalStateException("no rule for " + question.subject());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mFollowers.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /**
     * This node owns from now on.
     *
     * @param journal what heartbeats say of the journal
     * @param callsOver whether its calls to the VM service are over; said once it owns no more
     */
    public void ownershipAcquired(long token, OwnedJournal journal, BooleanSupplier callsOver) {
        mCallsOver = callsOver;
        mToken = token;
        mJournal = journal;
        sendHeartbeat(token);
    }

    /** This node does not own any more; who follows it looks for the owner elsewhere. */
    public void ownershipLost() {
        mToken = PeerFrame.NO_OWNER;
        mBatch.clear();
        Set.copyOf(mFollowers).forEach(Channel::close);
    }

    /**
     * The owner has read a record of the journal.
     *
     * <p>Answers some hundred records a second that go to some forty nodes: sent one by one, each
     * takes a packet and wakes a process on every node, and on a narrow link the packets alone keep
     * orders to workers waiting. Records of some moments go out together, put together once for all
     * nodes; beyond the link's budget they are left out, and the next heartbeat tells the nodes
     * that they lack some.
     */
    public void recordRead(int partition, long offset, byte[] record) {
        if (mToken == PeerFrame.NO_OWNER) {
            return;
        }
        addToBatch(new PeerFrame.StreamedRecord(mToken, partition, offset, record));
        if (mBatch.readableBytes() >= MAX_BATCH_BYTES) {
            flushOrDrop();
        } else if (!mFlushScheduled) {
            mFlushScheduled = true;
            mTimers.after(BATCH_DELAY_MS, this::flushOrDrop);
        }
    }

    private void addToBatch(PeerFrame frame) {
        ByteBuf bytes = frame.encode();
        mBatch.writeBytes(bytes);
        bytes.release();
    }

    private void sendHeartbeat(long token) {
        if (mToken != token) {
            return;
        }
        // After the records up to the position that it names: a node that lacks one of them would
        // read the store.
        flushOrDrop();
        addToBatch(newHeartbeat());
        flush();
        mTimers.after(HEARTBEAT_INTERVAL_MS, () -> sendHeartbeat(token));
    }

    private PeerFrame newHeartbeat() {
        boolean callsOver = mToken == PeerFrame.NO_OWNER && mCallsOver.getAsBoolean();
        return new PeerFrame.Heartbeat(
                mToken,
                mJournal.position(),
                mClock.nowMs(),
                mJournal.completeMs(),
                mJournal.storedMsAgo(),
                callsOver,
                mNarrow);
    }

    /** Sends what was gathered, or leaves it out where the link has no room for it. */
    private void flushOrDrop() {
        mFlushScheduled = false;
        if (!mBatch.isReadable()) {
            return;
        }
        long bytes = (long) mBatch.readableBytes() * mFollowers.size();
        if (mBudget.tryConsume(bytes, mClock.nowMs())) {
            flush();
        } else {
            mBatch.clear();
        }
    }

    /** A follower that doesn't read is passed over: it would pile frames up in memory. */
    private void flush() {
        ByteBuf frames = Unpooled.directBuffer(mBatch.readableBytes()).writeBytes(mBatch);
        mBatch.clear();
        mFlushCount++;
        mSentBytes += frames.readableBytes();
        for (Channel c : mFollowers) {
            if (c.isWritable()) {
                c.writeAndFlush(frames.retainedDuplicate());
            }
        }
        frames.release();
    }
}
