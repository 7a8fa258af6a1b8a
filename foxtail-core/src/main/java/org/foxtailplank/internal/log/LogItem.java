package org.foxtailplank.internal.log;

import org.foxtailplank.id.RecordId;

/**
 * A record as it stands on the log.
 *
 * @param offset its place
 * @param id its id
 */
public record LogItem(long offset, RecordId id) {}
