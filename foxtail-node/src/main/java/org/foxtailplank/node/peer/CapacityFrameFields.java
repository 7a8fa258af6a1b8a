package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.Optional;
import org.foxtailplank.node.peer.PeerFrame.AcceptedWork;
import org.foxtailplank.node.peer.PeerFrame.CapacityReport;
import org.foxtailplank.node.peer.PeerFrame.Field;

/** Collects the fields of a frame about capacity while it is decoded. */
final class CapacityFrameFields {
    private Optional<byte[]> mCapacity = Optional.empty();
    private long mToken;
    private Optional<byte[]> mAcceptedWork = Optional.empty();

    /** Reads a field; returns false if it belongs to another kind of frame. */
    boolean read(int tag, CodedInputStream in) throws IOException {
        switch (WireFormat.getTagFieldNumber(tag)) {
            case Field.CAPACITY -> mCapacity = Optional.of(in.readByteArray());
            case Field.CAPACITY_TOKEN -> mToken = in.readInt64();
            case Field.ACCEPTED_WORK -> mAcceptedWork = Optional.of(in.readByteArray());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Returns the frame; empty if none of its fields were read. */
    Optional<PeerFrame> toFrame() {
        return mCapacity.isPresent()
                ? mCapacity.map(c -> new CapacityReport(mToken, c))
                : mAcceptedWork.map(AcceptedWork::new);
    }
}
