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

/** Server side of the peer protocol: streams the owner's journal and heartbeats to followers. */
public final class JournalStream {
    private static final long HEARTBEAT_INTERVAL_MS = 200;

    /**
     * Time for which a refused job isn't stored if a follower names none, in milliseconds: callers
     * are told to return after a second at the earliest.
     */
    private static final int DEFAULT_REFUSAL_MS = 900;

    /** Longest time a record waits in a batch, in milliseconds. */
    private static final long BATCH_DELAY_MS = 20;

    /** A batch of this size is sent at once: half of Netty's default high water mark. */
    private static final int MAX_BATCH_BYTES = 32 << 10;

    private final boolean mNarrow;
    private final Clock mClock;
    private final Timers mTimers;
    private final StreamBudget mBudget;
    private final Handover mHandover;
    private final JobQueries mJobQueries;
    private final FollowerRelay mRelay;
    private final Set<Channel> mFollowers = new HashSet<>();
    private final ByteBuf mBatch = Unpooled.buffer();
    private boolean mFlushScheduled;
    private long mFlushCount;
    private long mSentBytes;
    private InetSocketAddress mAddress;
    private long mToken = PeerFrame.NO_OWNER;
    private JournalStatus mJournal = JournalStatus.NONE;
    private long mLastStandbyMs = Long.MIN_VALUE / 2;
    private BooleanSupplier mVmCallsFinished = () -> true;
    private Optional<ConfigExchange> mConfigExchange = Optional.empty();
    private Optional<CapacityReporter> mCapacity = Optional.empty();

    private JournalStream(
            Clock clock, Timers timers, LinkRate link, Handover handover, JobQueries jobQueries) {
        mNarrow = !link.isAmple();
        mClock = clock;
        mTimers = timers;
        mBudget = new StreamBudget(link, clock.nowMs());
        mHandover = handover;
        mJobQueries = jobQueries;
        mRelay = new FollowerRelay(timers);
    }

    /**
     * Listens for followers. Until this node owns, its heartbeats report that it doesn't.
     *
     * @param link the node's network link
     * @param handover stores the records that followers hand over
     * @param jobQueries answers the queries of followers
     */
    public static JournalStream listen(
            EventLoop loop,
            InetSocketAddress address,
            Clock clock,
            Timers timers,
            LinkRate link,
            Handover handover,
            JobQueries jobQueries)
            throws IOException {
        JournalStream stream = new JournalStream(clock, timers, link, handover, jobQueries);
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

    /** Returns the bound address, with the port that the system chose. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns when a follower on an ample link last reported that it can take ownership. */
    public long lastStandbyMs() {
        return mLastStandbyMs;
    }

    /** Exchanges configurations with followers. */
    public void setConfigExchange(ConfigExchange exchange) {
        mConfigExchange = Optional.of(exchange);
    }

    /** Sends capacity reports with the heartbeats. */
    public void setCapacityReporter(CapacityReporter reporter) {
        mCapacity = Optional.of(reporter);
    }

    /** Returns the relay of an owner's starts through its followers. */
    public StartRelay startRelay() {
        return mRelay;
    }

    /** Returns how many batches were sent. */
    long flushCount() {
        return mFlushCount;
    }

    /** Returns the bytes sent to each follower. */
    long sentBytes() {
        return mSentBytes;
    }

    private final class FollowerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            mFollowers.add(context.channel());
            // Tells the follower at once whether this node owns.
            context.writeAndFlush(newHeartbeat().encode());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws IOException {
            PeerFrame frame = PeerFrame.decode(bytes);
            if (mConfigExchange.isPresent()
                    && mConfigExchange.get().handle(frame, context.channel())) {
                return;
            }
            if (frame instanceof PeerFrame.Handover handover) {
                mHandover.handOver(
                        handover.record(),
                        outcome -> {
                            PeerFrame response =
                                    new PeerFrame.HandoverResponse(handover.number(), outcome);
                            context.writeAndFlush(response.encode());
                        });
            } else if (frame instanceof PeerFrame.Query query) {
                respond(query, context);
            } else if (frame instanceof PeerFrame.Unstored unstored) {
                mHandover.reportUnstored(unstored.job());
            } else if (frame instanceof PeerFrame.Standby) {
                mLastStandbyMs = mClock.nowMs();
            } else if (frame instanceof PeerFrame.RelayOffer) {
                mRelay.addFollower(context.channel());
            } else if (frame instanceof PeerFrame.RelayResponse response) {
                mRelay.responded(context.channel(), response.number(), response.outcome());
            } else if (frame instanceof PeerFrame.AcceptedWork work && mCapacity.isPresent()) {
                mCapacity.get().received(work, context.channel());
            }
        }

        private void respond(PeerFrame.Query query, ChannelHandlerContext context) {
            Consumer<PeerFrame.QueryResponse> reply = r -> context.writeAndFlush(r.encode());
            long number = query.number();
            switch (query.subject()) {
                case JOB ->
                        mJobQueries.job(
                                query.name(),
                                j -> reply.accept(PeerFrame.QueryResponse.ofJob(number, j)));
                case QUEUE ->
                        mJobQueries.pending(
                                query.name(),
                                p -> reply.accept(PeerFrame.QueryResponse.ofCount(number, p)));
                case REFUSAL ->
                        mJobQueries.mayRefuse(
                                query.name(),
                                query.value().orElse(DEFAULT_REFUSAL_MS),
                                ok ->
                                        reply.accept(
                                                PeerFrame.QueryResponse.ofCount(
                                                        number, Optional.of(ok ? 1 : 0))));
                default ->
                        throw new IllegalStateException(
                                "unexpected query subject: " + query.subject());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mFollowers.remove(context.channel());
            mRelay.removeFollower(context.channel());
            mCapacity.ifPresent(c -> c.removeFollower(context.channel()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /**
     * Starts streaming as the owner.
     *
     * @param token fencing token of the ownership
     * @param journal journal status that heartbeats report
     * @param vmCallsFinished whether its calls to the VM service are finished; reported once it has
     *     lost ownership
     */
    public void ownershipAcquired(
            long token, JournalStatus journal, BooleanSupplier vmCallsFinished) {
        mVmCallsFinished = vmCallsFinished;
        mToken = token;
        mJournal = journal;
        sendHeartbeat(token);
    }

    /** Stops streaming and disconnects the followers, which then look for the new owner. */
    public void ownershipLost() {
        mToken = PeerFrame.NO_OWNER;
        mBatch.clear();
        Set.copyOf(mFollowers).forEach(Channel::close);
    }

    /**
     * Adds a record that the owner has read to the current batch.
     *
     * <p>Batching keeps packets from filling a narrow link and delaying commands to workers.
     * Batches that exceed the link's budget are dropped; followers detect the gap from the next
     * heartbeat and read the records from the store.
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
        // The records up to the reported position go first: a follower that lacks one of them reads
        // the store.
        flushOrDrop();
        addToBatch(newHeartbeat());
        writeBatch();
        mTimers.after(HEARTBEAT_INTERVAL_MS, () -> sendHeartbeat(token));
        // Followers would look for another owner if a fault of the report ended the heartbeats.
        try {
            mCapacity.ifPresent(c -> c.report(token, mClock.nowMs()));
        } finally {
            mFollowers.forEach(Channel::flush);
        }
    }

    private PeerFrame newHeartbeat() {
        boolean vmCallsFinished = mToken == PeerFrame.NO_OWNER && mVmCallsFinished.getAsBoolean();
        return new PeerFrame.Heartbeat(
                mToken,
                mJournal.position(),
                mClock.nowMs(),
                mJournal.completeMs(),
                mJournal.storedMsAgo(),
                vmCallsFinished,
                mNarrow,
                mConfigExchange.map(ConfigExchange::version).orElse(-1L));
    }

    /** Sends the batch, or drops it if the link's budget is used up. */
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

    /** Sends the batch to all followers but slow readers, whose frames would fill the memory. */
    private void flush() {
        writeBatch();
        mFollowers.forEach(Channel::flush);
    }

    private void writeBatch() {
        ByteBuf frames = Unpooled.directBuffer(mBatch.readableBytes()).writeBytes(mBatch);
        mBatch.clear();
        mFlushCount++;
        mSentBytes += frames.readableBytes();
        for (Channel c : mFollowers) {
            if (c.isWritable()) {
                c.write(frames.retainedDuplicate());
            }
        }
        frames.release();
    }
}
