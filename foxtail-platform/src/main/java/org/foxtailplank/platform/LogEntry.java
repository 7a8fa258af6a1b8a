package org.foxtailplank.platform;

import org.foxtailplank.id.RecordId;

/**
 * One entry to be appended.
 *
 * @param id id chosen by its writer
 * @param data encoded record
 */
public record LogEntry(RecordId id, byte[] data) {}
