package org.foxtailplank.internal.buffer;

/**
 * The minimum of a number of VMs over the time for which it has been above zero.
 *
 * @param sinceMs time since which the number has been above zero without interruption
 * @param min smallest number since then; 0 if the number is not above zero
 */
public record SustainedCount(long sinceMs, int min) {

    static SustainedCount none() {
        return new SustainedCount(0, 0);
    }

    /** Returns the count after another value. */
    SustainedCount update(int value, long nowMs) {
        if (value <= 0) {
            return none();
        }
        return min == 0
                ? new SustainedCount(nowMs, value)
                : new SustainedCount(sinceMs, Math.min(min, value));
    }

    /** Returns the minimum if the number has been above zero for the hold time, else 0. */
    int sustained(long nowMs, long holdMs) {
        return min > 0 && nowMs - sinceMs >= holdMs ? min : 0;
    }
}
