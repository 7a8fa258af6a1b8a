package org.foxtailplank.controller.internal.admin;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.foxtailplank.controller.internal.act.RecordWriter;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;

/** Writes a change to the log and responds with the verdict. */
final class ChangeSubmitter {
    private final FleetLog mLog;
    private final RecordWriter mWriter;

    ChangeSubmitter(FleetLog log, RecordWriter writer) {
        mLog = log;
        mWriter = writer;
    }

    /**
     * Response to a change that took effect.
     *
     * @param verdict always {@code applied}
     * @param record id of the record
     * @param version new version of the object
     */
    record AppliedBody(String verdict, String record, long version) {}

    CompletionStage<ApiResponse> submit(Change change, ObjectKey key, long version) {
        RecordId id = mWriter.nextId();
        return mWriter.write(id, Optional.empty(), Map.of(key, version), change)
                .handle(
                        (verdict, error) ->
                                error == null ? respond(id, key, verdict) : failed(error))
                .thenCompose(Function.identity());
    }

    private CompletionStage<ApiResponse> respond(RecordId id, ObjectKey key, Verdict verdict) {
        return mLog.read(
                view -> {
                    if (verdict instanceof Verdict.Void v) {
                        return ApiResponse.conflict(
                                Problem.voidChange(v), Views.current(view, key));
                    }
                    return ApiResponse.ok(
                            new AppliedBody("applied", id.value(), view.version(key)));
                });
    }

    private static CompletionStage<ApiResponse> failed(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (!(cause instanceof PlatformException)) {
            return java.util.concurrent.CompletableFuture.failedFuture(cause);
        }
        PlatformException failure = (PlatformException) cause;
        Problem problem =
                failure.effect() == PlatformException.Effect.NONE
                        ? Problem.platformUnavailable(failure.getMessage())
                        : Problem.outcomeUnknown(failure.getMessage());
        return java.util.concurrent.CompletableFuture.completedFuture(ApiResponse.problem(problem));
    }
}
