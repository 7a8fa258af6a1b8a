package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import org.foxtailplank.id.RecordId;

/**
 * A record of the log's tail, passed between peers.
 *
 * @param offset offset in the log
 * @param id record id
 * @param data encoded record
 */
public record TailRecord(long offset, RecordId id, ByteString data) {}
