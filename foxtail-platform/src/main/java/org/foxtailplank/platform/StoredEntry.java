package org.foxtailplank.platform;

import org.foxtailplank.id.RecordId;

/**
 * One entry as stored by the platform.
 *
 * @param offset its place in the stream, from 1
 * @param id id chosen by its writer
 * @param data encoded record
 */
public record StoredEntry(long offset, RecordId id, byte[] data) {}
