package org.foxtailplank.standin.internal.log;

import java.util.List;

/** Documents of the log's interface. */
final class LogDocuments {

    private LogDocuments() {}

    /** A record, on its way in or out. */
    record Entry(long offset, String id, byte[] data) {}

    /** What is to be appended. */
    record Append(List<Entry> records) {}

    /** Where it was appended. */
    record Appended(long first, long end) {}

    /** Part of a stream. */
    record Page(long oldest, long end, List<Entry> records) {}
}
