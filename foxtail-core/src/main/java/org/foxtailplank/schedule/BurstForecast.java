package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Learns from arrivals alone when the demand of each service rises to several times its mean, and
 * forecasts its next turns.
 *
 * <p>Serves queues that take turns: in the first seconds of a turn its pool has too few VMs, as
 * each needs about two seconds to join, and most jobs that are late arrive there. A service's turn
 * is forecast once one of its turns has returned, or once the turns of two other services have
 * returned after the same time, so that the whole cycle repeats. After a turn that doesn't come the
 * service has no forecast until a turn comes as expected. Times are milliseconds of a monotonic
 * clock.
 */
public final class BurstForecast {
    /** Time over which arrivals count as demand, in milliseconds: about a job's objective. */
    static final long WINDOW_MS = 3000;

    /**
     * Longest time between two calls after which arrivals count as seen. After a longer one, the
     * jobs of the meantime arrive at once, and the phase of the turns may have changed.
     */
    private static final long MAX_STEP_MS = 1000;

    /** Time after a gap in which the jobs of the gap arrive, in milliseconds. */
    private static final long CATCH_UP_MS = 500;

    /** Time for which a gap is kept, in milliseconds: as long as arrivals are. */
    private static final long KEEP_GAP_MS = 65_000;

    /** Services that must have returned after the same time for the whole cycle to repeat. */
    private static final int MIN_RETURNED = 2;

    /** Share of a period by which those of services in one cycle may differ, by chance. */
    private static final double MAX_DIFFERENCE = 0.05;

    private final Map<String, ServiceTurns> mServices = new LinkedHashMap<>();
    private final List<ObservationGap> mGaps = new ArrayList<>();
    private final List<BurstForecastResult> mResults = new ArrayList<>();
    private long mStartMs = -1;
    private long mAdvancedMs = -1;
    private long mIgnoreUntilMs;

    /** Records the arrival of a job that needs this many thousandths of a core. */
    public void recordArrival(String service, double milliCores, long nowMs) {
        if (mAdvancedMs >= 0 && nowMs - mAdvancedMs > MAX_STEP_MS) {
            advance(nowMs);
        }
        if (mStartMs < 0) {
            mStartMs = nowMs;
        }
        if (nowMs >= mIgnoreUntilMs) {
            mServices
                    .computeIfAbsent(service, s -> new ServiceTurns(s, mStartMs))
                    .history()
                    .record(milliCores, nowMs);
        }
    }

    /** Learns from the arrivals until now; to be called several times in a second. */
    public void advance(long nowMs) {
        if (mAdvancedMs >= 0 && nowMs - mAdvancedMs > MAX_STEP_MS) {
            mGaps.add(new ObservationGap(mAdvancedMs, nowMs));
            mIgnoreUntilMs = nowMs + CATCH_UP_MS;
            mServices.values().forEach(ServiceTurns::drop);
        } else if (mAdvancedMs / ArrivalHistory.BIN_MS == nowMs / ArrivalHistory.BIN_MS) {
            return;
        }
        learn(nowMs);
    }

    private void learn(long nowMs) {
        if (mStartMs < 0) {
            mStartMs = nowMs;
        }
        mAdvancedMs = nowMs;
        mGaps.removeIf(g -> g.toMs() < nowMs - KEEP_GAP_MS);
        mServices.values().forEach(s -> s.find(mGaps, nowMs));
        for (ServiceTurns s : mServices.values()) {
            s.compare(nowMs).ifPresent(mResults::add);
            OptionalLong own = s.periodMs();
            s.expectNext(own.isPresent() ? common(own.getAsLong()) : cycleMs(), mGaps, nowMs);
        }
    }

    /**
     * Ends the replay of arrivals that a previous owner has seen, whose results it has reported.
     *
     * <p>If no job is known to have been accepted for longer than a second, the journal may lack
     * jobs that will follow at once. A turn expected in that time can't be judged and is skipped.
     * No forecast is dropped, as the clocks went on, unlike in a suspension.
     *
     * @param lastKnownMs when the last known job was accepted
     */
    void endReplay(long lastKnownMs, long nowMs) {
        if (nowMs - lastKnownMs > MAX_STEP_MS) {
            ObservationGap gap = new ObservationGap(lastKnownMs, nowMs);
            mGaps.add(gap);
            mIgnoreUntilMs = nowMs + CATCH_UP_MS;
            mServices.values().forEach(s -> s.skipIfCut(gap));
        }
        learn(nowMs);
        mResults.clear();
    }

    /** Mean of the services' periods that are about the same, which is less noisy than one. */
    private OptionalLong common(long periodMs) {
        long toleranceMs = (long) (periodMs * MAX_DIFFERENCE);
        double mean =
                mServices.values().stream()
                        .flatMapToLong(s -> s.periodMs().stream())
                        .filter(p -> Math.abs(p - periodMs) <= toleranceMs)
                        .average()
                        .orElse(periodMs);
        return OptionalLong.of(Math.round(mean));
    }

    /** Time after which the turns of at least two services have returned. */
    private OptionalLong cycleMs() {
        for (ServiceTurns s : mServices.values()) {
            OptionalLong period = s.periodMs();
            if (period.isPresent()) {
                long ms = period.getAsLong();
                long returned = mServices.values().stream().filter(o -> o.hasReturned(ms)).count();
                if (returned >= MIN_RETURNED) {
                    return period;
                }
            }
        }
        return OptionalLong.empty();
    }

    private Optional<ServiceTurns> used(String service) {
        return Optional.ofNullable(mServices.get(service)).filter(s -> !s.isDropped());
    }

    /** The turn that a service is expected to take next or takes, unless it was a miss. */
    Optional<ExpectedTurn> turn(String service) {
        return used(service).flatMap(ServiceTurns::expected).filter(t -> !t.isWithdrawn());
    }

    /** Whether a turn that has not shown is expected to begin before this time. */
    boolean isTurnDue(long beforeMs) {
        return mServices.keySet().stream()
                .flatMap(s -> turn(s).stream())
                .anyMatch(t -> !t.isShown() && t.beginMs() < beforeMs);
    }

    /**
     * Demand that jobs expected to arrive in the three seconds before a time have then, in
     * thousandths of a core; 0 without a forecast. It follows the size of a turn that has begun.
     */
    public double expectedMilliCores(String service, long atMs) {
        return turn(service)
                .map(t -> t.scale(mAdvancedMs) * t.milliCores(atMs - WINDOW_MS, atMs))
                .orElse(0.0);
    }

    /**
     * Confidence in the forecast of a service, from 0 for none to 1: the share of the times between
     * its turns that agree. It is less than a half if only the other services' turns have returned.
     */
    public double confidence(String service) {
        Optional<ServiceTurns> turns = used(service).filter(s -> s.expected().isPresent());
        return turns.map(s -> Math.max(s.confidence(), 1.0 / (MIN_RETURNED + 1))).orElse(0.0);
    }

    /** Returns what has been found out about forecasts since the last call. */
    public List<BurstForecastResult> takeResults() {
        List<BurstForecastResult> results = List.copyOf(mResults);
        mResults.clear();
        return results;
    }
}
