package org.foxtailplank.node.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPosition;

/** The owner's end: sends the journal and heartbeats to the nodes that are connected. */
public final class JournalStream {
    /** How often a heartbeat is sent, in milliseconds. */
    private static final long HEARTBEAT_MS = 200;

    private final Timers mTimers;
    private final Handover mHandover;
    private final Set<Channel> mFollowers = new HashSet<>();
    private long mToken = PeerFrame.NO_OWNER;
    private Supplier<JournalPosition> mPosition = () -> JournalPosition.START;
    private LongSupplier mStoredMsAgo = () -> 0;
    private BooleanSupplier mCallsOver = () -> true;

    private JournalStream(Timers timers, Handover handover) {
        mTimers = timers;
        mHandover = handover;
    }

    /**
     * Listens for followers; until this node owns they hear that it doesn't.
     *
     * @param handover what stores the records that followers hand over
     */
    public static JournalStream listen(
            EventLoop loop, InetSocketAddress address, Timers timers, Handover handover)
            throws IOException {
        JournalStream stream = new JournalStream(timers, handover);
        var bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(PeerChannels.with(() -> stream.new Follower()))
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        return stream;
    }

    private final class Follower extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            mFollowers.add(context.channel());
            // The first frame tells who looks for the owner whether this node is it.
            context.writeAndFlush(heartbeat().encode());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws IOException {
            if (PeerFrame.decode(bytes) instanceof PeerFrame.Handover handover) {
                mHandover.handOver(
                        handover.record(),
                        o -> {
                            PeerFrame answer = new PeerFrame.HandoverAnswer(handover.number(), o);
                            context.writeAndFlush(answer.encode());
                        });
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
     * @param position up to where it has read the journal; heartbeats say so
     * @param storedMsAgo how long ago the store took a record of it; they say this too
     * @param callsOver whether its calls to the VM service are over; said once it owns no more
     */
    public void own(
            long token,
            Supplier<JournalPosition> position,
            LongSupplier storedMsAgo,
            BooleanSupplier callsOver) {
        mStoredMsAgo = storedMsAgo;
        mCallsOver = callsOver;
        mToken = token;
        mPosition = position;
        heartbeat(token);
    }

    /** This node does not own any more; who follows it looks for the owner elsewhere. */
    public void disown() {
        mToken = PeerFrame.NO_OWNER;
        Set.copyOf(mFollowers).forEach(Channel::close);
    }

    /** The owner has read a record of the journal. */
    public void read(int partition, long offset, byte[] record) {
        if (mToken != PeerFrame.NO_OWNER) {
            send(new PeerFrame.Journal(mToken, partition, offset, record));
        }
    }

    private void heartbeat(long token) {
        if (mToken != token) {
            return;
        }
        send(heartbeat());
        mTimers.after(HEARTBEAT_MS, () -> heartbeat(token));
    }

    private PeerFrame heartbeat() {
        boolean callsOver = mToken == PeerFrame.NO_OWNER && mCallsOver.getAsBoolean();
        return new PeerFrame.Heartbeat(
                mToken, mPosition.get(), mStoredMsAgo.getAsLong(), callsOver);
    }

    /** A follower that doesn't read is passed over: it would pile frames up in memory. */
    private void send(PeerFrame frame) {
        for (Channel c : mFollowers) {
            if (c.isWritable()) {
                c.writeAndFlush(frame.encode());
            }
        }
    }
}
