package org.foxtailplank.internal.buffer;

/**
 * A number of VMs that has lasted: the least value seen since a time.
 *
 * @param sinceMs time since which the number was above zero without a break
 * @param least least number seen since then; 0 when there is none
 */
public record LastingCount(long sinceMs, int least) {

    static LastingCount none() {
        return new LastingCount(0, 0);
    }

    /** The count after another value was seen. */
    LastingCount seen(int value, long nowMs) {
        if (value <= 0) {
            return none();
        }
        return least == 0
                ? new LastingCount(nowMs, value)
                : new LastingCount(sinceMs, Math.min(least, value));
    }

    /** The number that has lasted that long, 0 for none. */
    int lasting(long nowMs, long holdMs) {
        return least > 0 && nowMs - sinceMs >= holdMs ? least : 0;
    }
}
