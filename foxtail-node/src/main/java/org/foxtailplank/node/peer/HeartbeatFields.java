package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.peer.PeerFrame.Field;
import org.foxtailplank.node.peer.PeerFrame.Heartbeat;

/** Collects the fields of a heartbeat while a frame is decoded. */
final class HeartbeatFields {
    private final List<Long> mPosition = new ArrayList<>();
    private long mNowMs;
    private long mCompleteMs = JournalStatus.NEVER_MS;
    private long mStoredMsAgo;
    private boolean mVmCallsFinished;
    private boolean mNarrow;
    private long mConfigVersion = -1;

    /** Reads a field, or skips one that no frame has. */
    void read(int tag, CodedInputStream in) throws IOException {
        switch (WireFormat.getTagFieldNumber(tag)) {
            case Field.POSITION -> mPosition.add(in.readInt64());
            case Field.NOW_MS -> mNowMs = in.readInt64();
            case Field.COMPLETE_MS -> mCompleteMs = in.readInt64();
            case Field.STORED_MS_AGO -> mStoredMsAgo = in.readInt64();
            case Field.CALLS_OVER -> mVmCallsFinished = in.readBool();
            case Field.NARROW -> mNarrow = in.readBool();
            case Field.HEARTBEAT_CONFIG -> mConfigVersion = in.readInt64();
            default -> in.skipField(tag);
        }
    }

    Heartbeat toHeartbeat(long token) {
        JournalPosition position = new JournalPosition(mPosition);
        return new Heartbeat(
                token,
                position,
                mNowMs,
                mCompleteMs,
                mStoredMsAgo,
                mVmCallsFinished,
                mNarrow,
                mConfigVersion);
    }
}
