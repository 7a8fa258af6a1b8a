package org.foxtailplank.wire.internal.peer;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.CutReason;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** A connection on which both sides have proved their identity. */
final class Session {

    private final Channel mChannel;
    private final PeerIdentity mPeer;
    private final boolean mOutgoing;
    private final FrameSeal mSeal;
    private final Counters mCounters;
    private long mHeardAt;
    private long mBlockedSince;
    private int mAsksUnderWay;

    Session(
            Channel channel,
            PeerIdentity peer,
            boolean outgoing,
            FrameSeal seal,
            Counters counters) {
        mChannel = channel;
        mPeer = peer;
        mOutgoing = outgoing;
        mSeal = seal;
        mCounters = counters;
        mHeardAt = System.nanoTime();
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

    int asksUnderWay() {
        return mAsksUnderWay;
    }

    void askBegins() {
        mAsksUnderWay++;
    }

    void askEnds() {
        mAsksUnderWay--;
    }

    /** Sends an envelope and says how large it was. */
    int write(EnvelopeProto envelope) {
        byte[] frame = mSeal.seal(envelope.toByteArray());
        mCounters.mMessagesOut.increment();
        mChannel.writeAndFlush(frame, mChannel.voidPromise());
        return FrameDecoder.LENGTH_BYTES + frame.length;
    }

    /** The message of a frame, if its MAC is right. */
    Optional<byte[]> open(byte[] frame) {
        mHeardAt = System.nanoTime();
        mCounters.mMessagesIn.increment();
        return mSeal.open(frame);
    }

    /**
     * Stops reading from a peer that does not read.
     *
     * <p>Guards against a slow reader: its asks would go on to pile up answers in this node's
     * memory. While it takes nothing in, nothing more is read from it.
     */
    void writabilityChanged() {
        boolean writable = mChannel.isWritable();
        mChannel.config().setAutoRead(writable);
        mBlockedSince = writable ? 0 : System.nanoTime();
    }

    boolean isBlockedFor(long nanos, long now) {
        return mBlockedSince != 0 && now - mBlockedSince > nanos;
    }

    boolean isSilentFor(long nanos, long now) {
        return now - mHeardAt > nanos;
    }

    void cut(CutReason reason) {
        mCounters.cut(reason, mPeer.node() + " at " + mChannel.remoteAddress());
        mChannel.close();
    }

    void close() {
        mChannel.close();
    }
}
