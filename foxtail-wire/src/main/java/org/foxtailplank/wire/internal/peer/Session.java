package org.foxtailplank.wire.internal.peer;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** A mutually authenticated connection. */
final class Session {

    private final Channel mChannel;
    private final PeerIdentity mPeer;
    private final boolean mOutgoing;
    private final FrameAuthenticator mAuthenticator;
    private final Counters mCounters;
    private long mLastReceivedAt;
    private long mBlockedSince;
    private int mRequestsInFlight;

    Session(
            Channel channel,
            PeerIdentity peer,
            boolean outgoing,
            FrameAuthenticator authenticator,
            Counters counters) {
        mChannel = channel;
        mPeer = peer;
        mOutgoing = outgoing;
        mAuthenticator = authenticator;
        mCounters = counters;
        mLastReceivedAt = System.nanoTime();
    }

    PeerIdentity peer() {
        return mPeer;
    }

    InetSocketAddress remote() {
        return (InetSocketAddress) mChannel.remoteAddress();
    }

    boolean isOutgoing() {
        return mOutgoing;
    }

    boolean isWritable() {
        return mChannel.isWritable();
    }

    int requestsInFlight() {
        return mRequestsInFlight;
    }

    void requestStarted() {
        mRequestsInFlight++;
    }

    void requestFinished() {
        mRequestsInFlight--;
    }

    /** Sends an envelope and returns the size of its frame. */
    int write(EnvelopeProto envelope) {
        byte[] frame = mAuthenticator.sign(envelope.toByteArray());
        mCounters.mMessagesOut.increment();
        mChannel.writeAndFlush(frame, mChannel.voidPromise());
        return FrameDecoder.LENGTH_BYTES + frame.length;
    }

    /** Returns the message of a frame, or empty if its MAC is wrong. */
    Optional<byte[]> verify(byte[] frame) {
        mLastReceivedAt = System.nanoTime();
        mCounters.mMessagesIn.increment();
        return mAuthenticator.verify(frame);
    }

    /**
     * Applies backpressure: reads from the peer only while the send buffer has room.
     *
     * <p>Otherwise, answers to a peer that does not read would accumulate in memory.
     */
    void onWritabilityChanged() {
        boolean writable = mChannel.isWritable();
        mChannel.config().setAutoRead(writable);
        mBlockedSince = writable ? 0 : System.nanoTime();
    }

    boolean isBlockedFor(long nanos, long now) {
        return mBlockedSince != 0 && now - mBlockedSince > nanos;
    }

    boolean isSilentFor(long nanos, long now) {
        return now - mLastReceivedAt > nanos;
    }

    void disconnect(DisconnectReason reason) {
        mCounters.disconnected(reason, mPeer.node() + " at " + mChannel.remoteAddress());
        mChannel.close();
    }

    void close() {
        mChannel.close();
    }
}
