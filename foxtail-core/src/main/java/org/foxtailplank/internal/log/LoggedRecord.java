package org.foxtailplank.internal.log;

import org.foxtailplank.id.RecordId;

/**
 * Offset and id of a record on the log.
 *
 * @param offset offset of the record
 * @param id id of the record
 */
public record LoggedRecord(long offset, RecordId id) {}
