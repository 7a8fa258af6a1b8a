package org.foxtailplank.internal.buffer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.PoolUse;

/**
 * Demand of a pool, learned from measured use that lags and contradicts what is declared.
 *
 * @param samples recent measurements, oldest first
 * @param growth largest rise seen within one wake, fading
 * @param growthAtMs time of that value
 * @param ratio measured use for each declared VM
 */
public record DemandEstimate(List<PoolUse> samples, double growth, long growthAtMs, double ratio) {

    /** Declared sizes are taken to be wrong by at most this factor, both ways. */
    static final double MOST_WRONG = 4;

    private static final double FULL = 0.95;
    private static final double UNSEEN = 1.25;
    private static final int MOST_SAMPLES = 24;
    private static final double RATIO_STEP = 0.2;
    private static final double DAY_MS = 24 * 3_600_000.0;

    /** The estimate after a report; a report that was seen before changes nothing. */
    DemandEstimate seen(PoolUse use, long horizonMs) {
        Optional<PoolUse> last = last();
        if (last.isPresent() && last.get().atMs() >= use.atMs()) {
            return this;
        }
        double rise = rise(use, horizonMs);
        double faded = growth * Math.pow(0.5, Math.max(0, use.atMs() - growthAtMs) / DAY_MS);
        return new DemandEstimate(
                append(use, horizonMs), Math.max(rise, faded), use.atMs(), ratioAfter(use));
    }

    private double rise(PoolUse use, long horizonMs) {
        return samples.stream()
                .filter(s -> s.atMs() >= use.atMs() - horizonMs)
                .mapToDouble(s -> use.vms() - s.vms())
                .max()
                .orElse(0);
    }

    private double ratioAfter(PoolUse use) {
        if (use.declared() <= 0) {
            return ratio;
        }
        double found = use.vms() / use.declared();
        double bounded = Math.min(MOST_WRONG, Math.max(1 / MOST_WRONG, found));
        return samples.isEmpty() ? bounded : ratio + RATIO_STEP * (bounded - ratio);
    }

    /** Samples closer together than the horizon needs are merged, so that the list is bounded. */
    private List<PoolUse> append(PoolUse use, long horizonMs) {
        List<PoolUse> kept = new ArrayList<>(samples);
        int size = kept.size();
        boolean dense = size >= 2 && use.atMs() - kept.get(size - 2).atMs() < horizonMs / 8;
        if (dense) {
            kept.remove(size - 1);
        }
        kept.add(use);
        while (kept.size() > MOST_SAMPLES) {
            kept.remove(0);
        }
        return List.copyOf(kept);
    }

    Optional<PoolUse> last() {
        return samples.isEmpty() ? Optional.empty() : Optional.of(samples.get(samples.size() - 1));
    }

    /**
     * Demand now: the last measurement, moved by what was declared since.
     *
     * <p>Guards against the lag of reports: jobs that were declared after the measurement are not
     * in it, and waiting for the next report would leave them without VMs for a lag and a wake.
     */
    double now(int declared, long nowMs, long staleMs) {
        if (!isFresh(nowMs, staleMs)) {
            double known = last().map(PoolUse::vms).orElse(0.0);
            return Math.max(declared, known);
        }
        PoolUse use = last().orElseThrow();
        return Math.max(0, use.vms() + ratio * (declared - use.declared()));
    }

    /**
     * Factor by which demand may be above what is measured.
     *
     * <p>Guards against a pool that is full: use can't be measured beyond what serves, so a pool
     * that is too small would look as if it were just large enough, for ever.
     */
    double unseen(int serving) {
        boolean full = last().filter(u -> u.vms() >= FULL * serving).isPresent();
        return full && serving > 0 ? UNSEEN : 1;
    }

    boolean isFresh(long nowMs, long staleMs) {
        return last().filter(u -> nowMs - u.atMs() <= staleMs).isPresent();
    }
}
