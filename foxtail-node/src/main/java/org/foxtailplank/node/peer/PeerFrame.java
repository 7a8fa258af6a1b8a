package org.foxtailplank.node.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;

/**
 * What an owner sends to a follower: a record of the journal, or a heartbeat without one.
 *
 * @param token fencing token of the owner; {@link #NO_OWNER} from a node that doesn't own
 * @param offset offset of the record; for a heartbeat the offset that the owner reads next
 * @param storedMsAgo for a heartbeat: how long ago the store last took a record of the owner's
 * @param record the record; empty for a heartbeat
 */
record PeerFrame(long token, long offset, long storedMsAgo, Optional<byte[]> record) {
    /** The token that a node sends which doesn't own; those of owners begin at 1. */
    static final long NO_OWNER = 0;

    private static final int TOKEN = 1;
    private static final int OFFSET = 2;
    private static final int RECORD = 3;
    private static final int STORED = 4;

    ByteBuf encode() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.writeInt64(TOKEN, token);
        out.writeInt64(OFFSET, offset);
        out.writeInt64(STORED, storedMsAgo);
        if (record.isPresent()) {
            out.writeBytes(RECORD, ByteString.copyFrom(record.get()));
        }
        out.flush();
        return Unpooled.wrappedBuffer(bytes.toByteArray());
    }

    static PeerFrame decode(ByteBuf bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(ByteBufUtil.getBytes(bytes));
        long token = 0;
        long offset = 0;
        long storedMsAgo = 0;
        Optional<byte[]> record = Optional.empty();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case TOKEN -> token = in.readInt64();
                case OFFSET -> offset = in.readInt64();
                case STORED -> storedMsAgo = in.readInt64();
                case RECORD -> record = Optional.of(in.readByteArray());
                default -> in.skipField(tag);
            }
        }
        return new PeerFrame(token, offset, storedMsAgo, record);
    }
}
