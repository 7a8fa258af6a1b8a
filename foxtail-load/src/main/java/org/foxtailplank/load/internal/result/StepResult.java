package org.foxtailplank.load.internal.result;

import java.util.Map;
import org.foxtailplank.load.internal.run.Ending;

/**
 * What came of one step of a run.
 *
 * @param load offered load as a multiple of capacity
 * @param offered requests planned
 * @param seconds length of the step
 * @param endings requests by ending
 * @param goodputPerSecond requests a second answered whole and in time
 * @param latency latency of whole answers from the intended send time
 */
public record StepResult(
        double load,
        long offered,
        double seconds,
        Map<Ending, Long> endings,
        double goodputPerSecond,
        Percentiles latency) {

    public StepResult {
        endings = Map.copyOf(endings);
    }

    /** Works out the goodput. */
    public static StepResult of(
            double load,
            long offered,
            double seconds,
            Map<Ending, Long> endings,
            Percentiles latency) {
        double goodput = endings.getOrDefault(Ending.OK, 0L) / seconds;
        return new StepResult(load, offered, seconds, endings, goodput, latency);
    }

    /** Requests with one ending. */
    public long count(Ending ending) {
        return endings.getOrDefault(ending, 0L);
    }
}
