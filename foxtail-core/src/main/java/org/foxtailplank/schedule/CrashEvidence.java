package org.foxtailplank.schedule;

import java.util.List;

/**
 * Likelihood ratio of a worker's crash some time after it started a task: if the task causes it,
 * against a crash by chance.
 *
 * <p>A task that crashes its workers may do so at any time from milliseconds to seconds after its
 * start, but mostly at the same time. The assumed density of that time integrates to one, whatever
 * the earlier ages, so that a healthy task reaches a product of 1/p over its crashes with a
 * probability of p at most.
 *
 * <p>An age may be far too long, as a crash may be noticed late, or too short, as the worker may
 * have crashed for another reason. So each earlier age counts alike.
 */
final class CrashEvidence {
    /** Assumed share of tasks that crash their workers right after the start. */
    private static final double QUICK_SHARE = 0.5;

    private static final double SHORTEST_S = 0.001;
    private static final double LONGEST_QUICK_S = 0.1;
    private static final double LONGEST_S = TaskRun.PROBATION_MS / 1000.0;

    /** Assumed share of crashes at about the same time after the start as earlier ones. */
    private static final double REPEATED_SHARE = 0.5;

    /**
     * Widths of the intervals that count as the same time, relative to that time. Half of the
     * repeated crashes are assumed in each of them.
     */
    private static final double NARROW_WIDTH = 0.1;

    private static final double WIDE_WIDTH = 0.5;

    private static final double SHORTEST_NARROW_S = 0.01;
    private static final double SHORTEST_WIDE_S = 0.02;
    private static final double MS_PER_S = 1000;
    private static final double HUNDREDTHS = 100;

    private CrashEvidence() {}

    /**
     * Returns the decimal logarithm of the ratio, in hundredths.
     *
     * @param ageMs time from the start to the crash
     * @param earlierAgesMs the same for earlier crashes that the task may have caused
     * @param crashesPerSecond rate at which a worker crashes by chance
     */
    static int of(long ageMs, List<Long> earlierAgesMs, double crashesPerSecond) {
        return toEvidence(density(ageMs, earlierAgesMs), crashesPerSecond);
    }

    /** Returns the same for a crash at any time up to one after the start. */
    static int ofAgeUpTo(long maxAgeMs, List<Long> earlierAgesMs, double crashesPerSecond) {
        double sum = 0;
        for (long ms = 1; ms <= maxAgeMs; ms++) {
            sum += density(ms, earlierAgesMs);
        }
        return toEvidence(sum / maxAgeMs, crashesPerSecond);
    }

    private static int toEvidence(double density, double crashesPerSecond) {
        return (int) Math.round(HUNDREDTHS * Math.log10(density / crashesPerSecond));
    }

    private static double density(long ageMs, List<Long> earlierAgesMs) {
        double ageS = Math.max(SHORTEST_S, ageMs / MS_PER_S);
        double density = firstDensity(ageS);
        if (earlierAgesMs.isEmpty()) {
            return density;
        }
        double repeated = 0;
        for (long earlierMs : earlierAgesMs) {
            repeated += repeatedDensity(ageS, earlierMs / MS_PER_S);
        }
        return (1 - REPEATED_SHARE) * density + REPEATED_SHARE * repeated / earlierAgesMs.size();
    }

    private static double repeatedDensity(double ageS, double earlierS) {
        double narrowS = Math.max(SHORTEST_NARROW_S, earlierS * NARROW_WIDTH);
        double wideS = Math.max(SHORTEST_WIDE_S, earlierS * WIDE_WIDTH);
        double distanceS = Math.abs(ageS - earlierS);
        return (uniformDensity(distanceS, narrowS) + uniformDensity(distanceS, wideS)) / 2;
    }

    private static double uniformDensity(double distanceS, double widthS) {
        return distanceS < widthS / 2 ? 1 / widthS : 0;
    }

    private static double firstDensity(double ageS) {
        return ageS <= LONGEST_QUICK_S
                ? QUICK_SHARE / (ageS * Math.log(LONGEST_QUICK_S / SHORTEST_S))
                : (1 - QUICK_SHARE) / (LONGEST_S - LONGEST_QUICK_S);
    }
}
