package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.node.peer.PeerFrame.ConfigContent;
import org.foxtailplank.node.peer.PeerFrame.ConfigRequest;
import org.foxtailplank.node.peer.PeerFrame.ConfigVersion;
import org.foxtailplank.node.peer.PeerFrame.ConfirmationRequest;
import org.foxtailplank.node.peer.PeerFrame.ConfirmationResponse;
import org.foxtailplank.node.peer.PeerFrame.Field;

/** Collects the fields of a frame about configurations while it is decoded. */
final class ConfigFields {
    private Optional<PeerFrame> mFrame = Optional.empty();
    private OptionalLong mVersion = OptionalLong.empty();
    private OptionalLong mRequestSteadyMs = OptionalLong.empty();
    private long mRequestWallMs;
    private OptionalLong mAgeMs = OptionalLong.empty();

    /** Reads a field; returns false if it belongs to another kind of frame. */
    boolean read(int tag, CodedInputStream in) throws IOException {
        switch (WireFormat.getTagFieldNumber(tag)) {
            case Field.CONFIG_VERSION -> mVersion = OptionalLong.of(in.readInt64());
            case Field.REQUEST_STEADY_MS -> mRequestSteadyMs = OptionalLong.of(in.readInt64());
            case Field.REQUEST_WALL_MS -> mRequestWallMs = in.readInt64();
            case Field.CONFIRMATION_AGE_MS -> mAgeMs = OptionalLong.of(in.readInt64());
            case Field.CONFIG_CONTENT ->
                    mFrame = Optional.of(new ConfigContent(in.readByteArray()));
            case Field.CONFIG_REQUEST -> {
                in.skipField(tag);
                mFrame = Optional.of(new ConfigRequest());
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Returns the frame; empty if none of its fields were read. */
    Optional<PeerFrame> toFrame() {
        if (mVersion.isEmpty()) {
            return mFrame;
        }
        long version = mVersion.getAsLong();
        if (mRequestSteadyMs.isEmpty()) {
            return Optional.of(new ConfigVersion(version));
        }
        ClockReading requestSentAt = new ClockReading(mRequestSteadyMs.getAsLong(), mRequestWallMs);
        return Optional.of(
                mAgeMs.isPresent()
                        ? new ConfirmationResponse(version, requestSentAt, mAgeMs.getAsLong())
                        : new ConfirmationRequest(version, requestSentAt));
    }
}
