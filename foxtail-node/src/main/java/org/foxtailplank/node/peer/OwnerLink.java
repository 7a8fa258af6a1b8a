package org.foxtailplank.node.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;

/** A follower's end: a connection to the owner, over which the journal comes. */
public final class OwnerLink {
    /** An owner that is silent for so long may be gone, in milliseconds: three heartbeats. */
    private static final long SILENT_MS = 700;

    /** Pause before the owner is connected to again, in milliseconds. */
    private static final long RETRY_MS = 300;

    /** An owner whose last record was stored this lately can still write, in milliseconds. */
    private static final long STORING_MS = 1200;

    private static final int CONNECT_MS = 400;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final JournalReader mReader;
    private Optional<InetSocketAddress> mOwner = Optional.empty();
    private Optional<Channel> mChannel = Optional.empty();
    private boolean mOpening;
    private long mHeardMs = Long.MIN_VALUE / 2;
    private long mCurrentMs = Long.MIN_VALUE / 2;
    private long mStoringMs = Long.MIN_VALUE / 2;

    public OwnerLink(
            EventLoop loop, Clock clock, Timers timers, NodeLog log, JournalReader reader) {
        mLoop = loop;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mReader = reader;
    }

    /** The owner is at this address; this node itself has none to follow. */
    public void owner(Optional<InetSocketAddress> address) {
        if (address.equals(mOwner)) {
            return;
        }
        mOwner = address;
        close();
        open();
    }

    /** Whether the owner was heard of a moment ago. */
    public boolean isAlive() {
        return mClock.nowMs() - mHeardMs < SILENT_MS;
    }

    /** When the owner last said that the store takes its records. */
    public long storingMs() {
        return mStoringMs;
    }

    /** When the book last had all that the owner had read. */
    public long currentMs() {
        return mCurrentMs;
    }

    private void open() {
        if (mOwner.isEmpty() || mOpening || mChannel.isPresent()) {
            return;
        }
        mOpening = true;
        InetSocketAddress target = mOwner.get();
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(PeerChannels.with(Handler::new))
                .connect(target)
                .addListener(
                        f -> {
                            mOpening = false;
                            if (!f.isSuccess() || !mOwner.equals(Optional.of(target))) {
                                mTimers.after(RETRY_MS, this::open);
                            }
                        });
    }

    private void close() {
        mChannel.ifPresent(Channel::close);
        mChannel = Optional.empty();
    }

    /** Closes a connection that has gone silent; checked from time to time. */
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
        @Override
        public void channelActive(ChannelHandlerContext context) {
            mChannel = Optional.of(context.channel());
            mHeardMs = mClock.nowMs();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws IOException {
            if (mChannel.equals(Optional.of(context.channel()))) {
                take(PeerFrame.decode(bytes));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mChannel.equals(Optional.of(context.channel()))) {
                mLog.line("owner-disconnected").with("owner", mOwner).write();
                mChannel = Optional.empty();
                mHeardMs = Long.MIN_VALUE / 2;
                mStoringMs = Long.MIN_VALUE / 2;
                mTimers.after(RETRY_MS, OwnerLink.this::open);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void take(PeerFrame frame) {
        mHeardMs = mClock.nowMs();
        if (frame.record().isPresent()) {
            mReader.fromOwner(frame.offset(), frame.record().get());
        } else if (frame.storedMsAgo() < STORING_MS) {
            mStoringMs = mClock.nowMs();
        }
        if (frame.record().isEmpty() && frame.offset() > mReader.position()) {
            // Records were sent before this node was connected.
            mReader.refresh(read -> {});
        }
        boolean current =
                frame.record().isPresent()
                        ? mReader.position() > frame.offset()
                        : mReader.position() >= frame.offset();
        if (current) {
            mCurrentMs = mClock.nowMs();
        }
    }
}
