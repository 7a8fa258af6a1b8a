package org.foxtailplank.schedule;

import java.util.Locale;

/**
 * How the arrivals of a service compared with a forecast of its turn, for the log.
 *
 * @param used whether the forecast counted for decisions; one that was dropped is only compared
 * @param confidence share of the periods seen so far that agree, from 0 to 1
 * @param expectedMilliCores demand expected to arrive until now, in thousandths of a core
 * @param actualMilliCores demand that has arrived, in thousandths of a core
 */
public record BurstForecastResult(
        String service,
        Outcome outcome,
        boolean used,
        double confidence,
        long expectedMilliCores,
        long actualMilliCores) {

    /** Whether the turn came. */
    public enum Outcome {
        /** The turn came when it was expected. */
        RETURNED,
        /** The turn had not shown half a second after its expected beginning. */
        MISSED,
        /** The turn came too late for the forecast to be kept. */
        LATE,
        /** The turn came before it was expected. */
        EARLY;

        /** Whether the forecast counts again from the next turn on. */
        boolean confirms() {
            return this == RETURNED || this == LATE;
        }

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
