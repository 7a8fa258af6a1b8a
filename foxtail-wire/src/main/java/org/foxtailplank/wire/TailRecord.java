package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import org.foxtailplank.id.RecordId;

/**
 * A record of the log's tail, handed from peer to peer.
 *
 * @param offset its offset
 * @param id its id
 * @param data its bytes, as they stand on the log
 */
public record TailRecord(long offset, RecordId id, ByteString data) {}
