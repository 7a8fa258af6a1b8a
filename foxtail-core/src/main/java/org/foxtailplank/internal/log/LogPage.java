package org.foxtailplank.internal.log;

import java.util.List;

/**
 * Part of a stream, as read.
 *
 * @param oldest oldest offset that is kept
 * @param end offset after the last record of the stream
 * @param items records from the asked offset on
 */
public record LogPage(long oldest, long end, List<LogItem> items) {

    public LogPage {
        items = List.copyOf(items);
    }

    /** The offset after the last record of the page, or where the reader stood if it has none. */
    long nextAfter(long from) {
        return items.isEmpty() ? from : items.get(items.size() - 1).offset() + 1;
    }
}
