package org.foxtailplank.node.journal;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;

/** Encodes and decodes cancellations of unknown jobs as protobuf fields. */
final class CancelledIdsCodec {
    private CancelledIdsCodec() {}

    static void write(CodedOutputStream out, List<CancelledId> ids) throws IOException {
        for (CancelledId i : ids) {
            JournalCodec.writeMessage(
                    out,
                    1,
                    o -> {
                        o.writeString(1, i.job());
                        o.writeString(2, i.organisation());
                        o.writeString(3, i.route());
                        o.writeInt64(4, i.atMs());
                    });
        }
    }

    static UnknownJobsCancelled read(CodedInputStream in) throws IOException {
        List<CancelledId> ids = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) == 1) {
                ids.add(readCancelledId(in.readBytes().newCodedInput()));
            } else {
                in.skipField(tag);
            }
        }
        return new UnknownJobsCancelled(ids);
    }

    private static CancelledId readCancelledId(CodedInputStream in) throws IOException {
        String job = "";
        String organisation = "";
        String route = "";
        long atMs = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> job = in.readString();
                case 2 -> organisation = in.readString();
                case 3 -> route = in.readString();
                case 4 -> atMs = in.readInt64();
                default -> in.skipField(tag);
            }
        }
        return new CancelledId(job, organisation, route, atMs);
    }
}
