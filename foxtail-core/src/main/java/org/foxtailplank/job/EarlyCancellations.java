package org.foxtailplank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.job.JournalRecord.CancelledId;

/**
 * Cancellations of jobs that aren't known yet. Each one is kept as long as an ended job, which
 * outlasts the appends that may still introduce the job.
 */
public final class EarlyCancellations {
    /** Kept cancellations of one organisation; all requests without a key count as one. */
    static final int MAX_PER_ORGANISATION = 10_000;

    private final long mRetentionMs;
    private final Map<String, List<CancelledId>> mByJob = new HashMap<>();
    private final Map<String, Integer> mCounts = new HashMap<>();

    EarlyCancellations(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    void add(CancelledId id) {
        List<CancelledId> kept = mByJob.computeIfAbsent(id.job(), j -> new ArrayList<>());
        if (kept.stream().noneMatch(k -> k.hasSameScope(id))) {
            kept.add(id);
            mCounts.merge(id.organisation(), 1, Integer::sum);
        }
    }

    /** Removes the cancellations of a job and returns the first that applies to it. */
    Optional<CancelledId> take(JobDefinition definition) {
        List<CancelledId> kept = mByJob.remove(definition.id());
        if (kept == null) {
            return Optional.empty();
        }
        kept.forEach(this::uncount);
        return kept.stream().filter(i -> i.applies(definition)).findFirst();
    }

    private void uncount(CancelledId kept) {
        mCounts.computeIfPresent(kept.organisation(), (o, n) -> n > 1 ? n - 1 : null);
    }

    /** Whether a caller with the same rights has cancelled the job. */
    public boolean contains(CancelledId id) {
        return mByJob.getOrDefault(id.job(), List.of()).stream().anyMatch(k -> k.hasSameScope(id));
    }

    /**
     * How long an organisation must wait until another cancellation can be kept, in milliseconds; 0
     * if it needn't.
     */
    public long fullForMs(String organisation, long nowMs) {
        if (mCounts.getOrDefault(organisation, 0) < MAX_PER_ORGANISATION) {
            return 0;
        }
        long oldestMs =
                mByJob.values().stream()
                        .flatMap(List::stream)
                        .filter(k -> k.organisation().equals(organisation))
                        .mapToLong(k -> k.atMs())
                        .min()
                        .orElse(nowMs);
        return Math.max(1, oldestMs + mRetentionMs - nowMs);
    }

    /** Number of cancellations that are kept. */
    public int count() {
        return mCounts.values().stream().mapToInt(n -> n).sum();
    }

    void removeExpired(long nowMs) {
        mByJob.values()
                .removeIf(
                        kept -> {
                            kept.stream().filter(k -> isExpired(k, nowMs)).forEach(this::uncount);
                            kept.removeIf(k -> isExpired(k, nowMs));
                            return kept.isEmpty();
                        });
    }

    private boolean isExpired(CancelledId kept, long nowMs) {
        return kept.atMs() + mRetentionMs < nowMs;
    }
}
