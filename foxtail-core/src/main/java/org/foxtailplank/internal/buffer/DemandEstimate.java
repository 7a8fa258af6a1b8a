package org.foxtailplank.internal.buffer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.PoolUse;

/**
 * Estimated demand of a pool, from measured use that lags and may differ from the declared size.
 *
 * @param samples recent measurements, oldest first
 * @param growth largest rise measured within one wake, decaying
 * @param growthAtMs time at which the growth was updated
 * @param ratio measured use for each declared VM
 */
public record DemandEstimate(List<PoolUse> samples, double growth, long growthAtMs, double ratio) {

    /** Maximum factor between measured and declared use, in both directions. */
    static final double MAX_DEVIATION = 4;

    private static final double SATURATION_THRESHOLD = 0.95;
    private static final double SATURATION_FACTOR = 1.25;
    private static final int MAX_SAMPLES = 24;
    private static final double RATIO_SMOOTHING = 0.2;
    private static final double DAY_MS = 24 * 3_600_000.0;

    /** Returns the estimate after a report; an older or repeated report changes nothing. */
    DemandEstimate update(PoolUse use, long horizonMs) {
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
        double measured = use.vms() / use.declared();
        double bounded = Math.min(MAX_DEVIATION, Math.max(1 / MAX_DEVIATION, measured));
        return samples.isEmpty() ? bounded : ratio + RATIO_SMOOTHING * (bounded - ratio);
    }

    /**
     * Appends a sample; merges samples that are closer than the horizon requires, so that the list
     * stays bounded.
     */
    private List<PoolUse> append(PoolUse use, long horizonMs) {
        List<PoolUse> kept = new ArrayList<>(samples);
        int size = kept.size();
        boolean dense = size >= 2 && use.atMs() - kept.get(size - 2).atMs() < horizonMs / 8;
        if (dense) {
            kept.remove(size - 1);
        }
        kept.add(use);
        while (kept.size() > MAX_SAMPLES) {
            kept.remove(0);
        }
        return List.copyOf(kept);
    }

    Optional<PoolUse> last() {
        return samples.isEmpty() ? Optional.empty() : Optional.of(samples.get(samples.size() - 1));
    }

    /**
     * Returns the estimated demand: the last measurement, adjusted by what was declared since.
     *
     * <p>Guards against the lag of reports: jobs declared after the measurement would get no VMs
     * until the next report.
     */
    double demandAt(int declared, long nowMs, long staleMs) {
        if (!isFresh(nowMs, staleMs)) {
            double known = last().map(PoolUse::vms).orElse(0.0);
            return Math.max(declared, known);
        }
        PoolUse use = last().orElseThrow();
        return Math.max(0, use.vms() + ratio * (declared - use.declared()));
    }

    /**
     * Returns the factor by which demand may exceed the measured use.
     *
     * <p>Guards against a saturated pool: use can't exceed the capacity that serves, so a pool that
     * is too small would never grow.
     */
    double saturationFactor(int serving) {
        boolean full = last().filter(u -> u.vms() >= SATURATION_THRESHOLD * serving).isPresent();
        return full && serving > 0 ? SATURATION_FACTOR : 1;
    }

    boolean isFresh(long nowMs, long staleMs) {
        return last().filter(u -> nowMs - u.atMs() <= staleMs).isPresent();
    }
}
