package org.foxtailplank.platform.internal.http;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;

/** The platform's log over HTTP. */
public final class HttpLog implements PlatformLog {

    private static final int GONE = 410;

    private final PlatformCalls mCalls;

    /** A client that goes through the given calls. */
    public HttpLog(PlatformCalls calls) {
        mCalls = calls;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, List<LogEntry> entries) {
        List<EntryDocument> records =
                entries.stream().map(e -> new EntryDocument(0, e.id().value(), e.data())).toList();
        return mCalls.post(path(stream), new AppendDocument(records), Set.of())
                .thenApply(
                        a ->
                                a.read(
                                        AppendedDocument.class,
                                        d -> new AppendResult(d.first(), d.end())));
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long from, int limit, Duration wait) {
        String query = "?from=" + from + "&limit=" + limit + "&waitMs=" + wait.toMillis();
        return mCalls.get(path(stream) + query, wait, Set.of(GONE))
                .thenApply(a -> a.read(ReadDocument.class, HttpLog::result));
    }

    private static ReadResult result(ReadDocument document) {
        List<EntryDocument> records = document.records() == null ? List.of() : document.records();
        List<StoredEntry> entries =
                records.stream()
                        .map(r -> new StoredEntry(r.offset(), RecordId.of(r.id()), r.data()))
                        .toList();
        return new ReadResult(document.oldest(), document.end(), entries);
    }

    private static String path(String stream) {
        return "/v1/streams/" + Paths.segment(stream) + "/records";
    }

    private record EntryDocument(long offset, String id, byte[] data) {}

    private record AppendDocument(List<EntryDocument> records) {}

    private record AppendedDocument(long first, long end) {}

    private record ReadDocument(long oldest, long end, List<EntryDocument> records) {}
}
