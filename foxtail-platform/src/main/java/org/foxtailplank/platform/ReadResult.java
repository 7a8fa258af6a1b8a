package org.foxtailplank.platform;

import java.util.List;

/**
 * Entries read from a stream.
 *
 * @param oldest oldest offset that the platform still keeps
 * @param end offset after the last entry of the stream
 * @param entries entries from the asked offset on; empty when there are none yet
 */
public record ReadResult(long oldest, long end, List<StoredEntry> entries) {

    public ReadResult {
        entries = List.copyOf(entries);
    }
}
