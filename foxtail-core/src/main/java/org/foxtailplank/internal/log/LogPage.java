package org.foxtailplank.internal.log;

import java.util.List;

/**
 * Page of records read from a stream.
 *
 * @param oldest oldest retained offset
 * @param end end offset of the stream
 * @param records records from the requested offset on
 */
public record LogPage(long oldest, long end, List<LoggedRecord> records) {

    public LogPage {
        records = List.copyOf(records);
    }

    /** Returns the offset after the last record of the page, or {@code from} if it is empty. */
    long nextAfter(long from) {
        return records.isEmpty() ? from : records.get(records.size() - 1).offset() + 1;
    }
}
