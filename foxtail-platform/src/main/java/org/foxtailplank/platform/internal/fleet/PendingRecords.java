package org.foxtailplank.platform.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.state.Verdict;

/**
 * Records of this process whose verdict is awaited, and the newest verdicts that it got.
 *
 * <p>Guards against a writer that submits a record again after its answer was lost: the second copy
 * is void as a duplicate although the first took effect, so the writer is told the first verdict.
 */
final class PendingRecords {
    private static final int REMEMBERED = 4_096;

    private final Map<RecordId, CompletableFuture<Verdict>> mPending = new HashMap<>();
    private final Map<RecordId, Verdict> mVerdicts =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<RecordId, Verdict> eldest) {
                    return size() > REMEMBERED;
                }
            };

    /** The verdict that a record of this process got earlier. */
    Optional<Verdict> verdict(RecordId id) {
        return Optional.ofNullable(mVerdicts.get(id));
    }

    /** Waits for the verdict of a record; the same stage for each caller. */
    CompletableFuture<Verdict> await(RecordId id) {
        return mPending.computeIfAbsent(id, k -> new CompletableFuture<>());
    }

    boolean isAwaited(RecordId id) {
        return mPending.containsKey(id);
    }

    /** Tells the verdict of the first copy that was folded. */
    void resolve(RecordId id, Verdict verdict) {
        CompletableFuture<Verdict> f = mPending.remove(id);
        if (f != null) {
            mVerdicts.put(id, verdict);
            f.complete(verdict);
        }
    }

    /** Gives up waiting for a record. */
    void fail(RecordId id, PlatformException cause) {
        CompletableFuture<Verdict> f = mPending.remove(id);
        if (f != null) {
            f.completeExceptionally(cause);
        }
    }

    /** Gives up waiting for all records. */
    void failAll(PlatformException cause) {
        List<RecordId> ids = new ArrayList<>(mPending.keySet());
        ids.forEach(id -> fail(id, cause));
    }
}
