package org.foxtailplank.entry.internal.idempotency;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.internal.idempotency.ClaimBatch;
import org.foxtailplank.internal.idempotency.ClaimsPage;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.wire.ClaimCodec;

/** Appends to and reads the claims stream on the platform's log. */
final class ClaimsStream {

    private static final String STREAM = "claims";
    private static final int MAX_RECORDS = 500;

    private final PlatformLog mLog;

    ClaimsStream(PlatformLog log) {
        mLog = log;
    }

    CompletionStage<AppendResult> append(RecordId id, ClaimBatch batch) {
        return mLog.append(STREAM, List.of(new LogEntry(id, ClaimCodec.encode(batch))));
    }

    CompletionStage<ClaimsPage> read(long from, Duration wait) {
        return mLog.read(STREAM, from, MAX_RECORDS, wait).thenApply(r -> page(from, r));
    }

    /** Whether a failed call certainly had no effect. */
    static boolean hadNoEffect(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof PlatformException e && e.effect() == PlatformException.Effect.NONE;
    }

    private static ClaimsPage page(long from, ReadResult result) {
        List<ClaimsPage.StoredRecord> records =
                result.entries().stream()
                        .map(
                                e ->
                                        new ClaimsPage.StoredRecord(
                                                e.offset(), e.id(), ClaimCodec.decode(e.data())))
                        .toList();
        return new ClaimsPage(from, result.oldest(), result.end(), records);
    }
}
