package org.foxtailplank.node.peer;

import com.google.protobuf.CodedOutputStream;
import io.netty.channel.Channel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.foxtailplank.node.admission.CapacityDecoder;
import org.foxtailplank.node.admission.KnownCapacity;

/** Receives the owner's capacity reports, and sends it the work that this node accepted. */
public final class CapacityFollower {
    private final KnownCapacity mKnown;
    private final BooleanSupplier mEnabled;
    private CapacityDecoder mDecoder = new CapacityDecoder();
    private Optional<Channel> mChannel = Optional.empty();

    /**
     * Creates the follower's side.
     *
     * @param enabled whether admission is on for any queue of this node; no frame is sent otherwise
     */
    public CapacityFollower(KnownCapacity known, BooleanSupplier enabled) {
        mKnown = known;
        mEnabled = enabled;
    }

    /**
     * Sends the work accepted since the last heartbeat; the first frame on a connection, which may
     * be empty, asks for reports. Owners of earlier versions ignore it.
     */
    void heartbeatReceived(Channel channel) {
        if (!mEnabled.getAsBoolean() || !channel.isWritable()) {
            return;
        }
        boolean first = !mChannel.equals(Optional.of(channel));
        if (first) {
            mChannel = Optional.of(channel);
            mDecoder = new CapacityDecoder();
        }
        Map<String, Long> accepted = mKnown.takeAcceptedWork();
        if (first || !accepted.isEmpty()) {
            channel.writeAndFlush(new PeerFrame.AcceptedWork(encode(accepted)).encode());
        }
    }

    /** Handles a report; {@code offsetMs} is that of the local monotonic clock to the owner's. */
    void received(PeerFrame.CapacityReport report, Channel channel, long offsetMs)
            throws IOException {
        if (mChannel.equals(Optional.of(channel))) {
            mKnown.update(report.token(), mDecoder.decode(report.content(), offsetMs));
        }
    }

    private byte[] encode(Map<String, Long> accepted) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            for (Map.Entry<String, Long> e : accepted.entrySet()) {
                Optional<Integer> index = mDecoder.index(e.getKey());
                if (index.isPresent()) {
                    out.writeUInt32NoTag(index.get());
                    out.writeUInt64NoTag(e.getValue());
                }
            }
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write to an in-memory buffer", e);
        }
        return bytes.toByteArray();
    }
}
