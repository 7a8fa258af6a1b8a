package org.foxtailplank.platform.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;

/** One node's way to the platform's log, which can be cut; calls on the way are lost then too. */
final class CuttableLog implements PlatformLog {

    private static final long TIMEOUT_MILLIS = 300;

    private final PlatformLog mLog;
    private volatile boolean mCut;

    CuttableLog(PlatformLog log) {
        mLog = log;
    }

    void cut(boolean cut) {
        mCut = cut;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, List<LogEntry> entries) {
        return unlessCut(() -> mLog.append(stream, entries));
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long from, int limit, Duration wait) {
        return unlessCut(() -> mLog.read(stream, from, limit, wait));
    }

    private <T> CompletionStage<T> unlessCut(Supplier<CompletionStage<T>> call) {
        if (mCut) {
            return timedOut();
        }
        return call.get()
                .thenCompose(r -> mCut ? timedOut() : CompletableFuture.completedFuture(r));
    }

    private static <T> CompletableFuture<T> timedOut() {
        CompletableFuture<T> answer = new CompletableFuture<>();
        CompletableFuture.delayedExecutor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .execute(
                        () ->
                                answer.completeExceptionally(
                                        new PlatformException("no answer", Effect.UNKNOWN)));
        return answer;
    }
}
