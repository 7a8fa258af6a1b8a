package org.foxtailplank.node.journal;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;

/** Encodes and decodes the heartbeat and departure records of owners. */
final class OwnerRecordCodec {
    private OwnerRecordCodec() {}

    static void write(CodedOutputStream out, OwnerHeartbeat record) throws IOException {
        out.writeInt64(1, record.token());
        out.writeString(2, record.address());
        out.writeInt64(3, record.ownedMs());
    }

    static OwnerHeartbeat readOwnerAlive(CodedInputStream in) throws IOException {
        long token = 0;
        String address = "";
        long ownedMs = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> token = in.readInt64();
                case 2 -> address = in.readString();
                case 3 -> ownedMs = in.readInt64();
                default -> in.skipField(tag);
            }
        }
        return new OwnerHeartbeat(token, address, ownedMs);
    }

    static void write(CodedOutputStream out, OwnerResigned record) throws IOException {
        out.writeInt64(1, record.token());
        out.writeString(2, record.node());
        out.writeBool(3, record.vmCallsFinished());
    }

    static OwnerResigned readOwnerResigned(CodedInputStream in) throws IOException {
        long token = 0;
        String node = "";
        boolean vmCallsFinished = false;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> token = in.readInt64();
                case 2 -> node = in.readString();
                case 3 -> vmCallsFinished = in.readBool();
                default -> in.skipField(tag);
            }
        }
        return new OwnerResigned(token, node, vmCallsFinished);
    }
}
