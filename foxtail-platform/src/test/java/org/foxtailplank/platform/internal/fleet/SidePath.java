package org.foxtailplank.platform.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;

/** Reaches a log that is away for others. */
final class SidePath implements PlatformLog {
    private final MemoryPlatformLog mLog;

    SidePath(MemoryPlatformLog log) {
        mLog = log;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, List<LogEntry> entries) {
        return mLog.appendAnyway(stream, entries);
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long from, int limit, Duration wait) {
        return mLog.readAnyway(stream, from, limit, wait);
    }
}
