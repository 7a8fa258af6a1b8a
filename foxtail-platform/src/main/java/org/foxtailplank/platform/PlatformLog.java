package org.foxtailplank.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's append-only log. */
public interface PlatformLog {

    /** Appends entries in order, all or none; a repeated id is appended again by the platform. */
    CompletionStage<AppendResult> append(String stream, List<LogEntry> entries);

    /**
     * Reads entries from an offset on; waits up to {@code wait} for the first one.
     *
     * <p>Where {@code from} is below the oldest offset that is kept, the result is empty and its
     * {@code oldest} is above {@code from}; where {@code from} is above {@code end}, the log has
     * become shorter than the reader knew it.
     */
    CompletionStage<ReadResult> read(String stream, long from, int limit, Duration wait);
}
