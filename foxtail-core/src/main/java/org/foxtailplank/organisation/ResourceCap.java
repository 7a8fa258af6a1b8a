package org.foxtailplank.organisation;

import org.foxtailplank.fleet.Resources;

/**
 * Upper limit on an amount of resources.
 *
 * @param limits limit on each resource; 0 for none
 */
public record ResourceCap(Resources limits) {
    public static final ResourceCap UNLIMITED = new ResourceCap(Resources.NONE);

    public ResourceCap {
        if (!Resources.NONE.fitsIn(limits)) {
            throw new IllegalArgumentException("negative limit in " + limits);
        }
    }

    /** Whether an amount is within the limits. */
    public boolean admits(Resources amount) {
        return isWithin(amount.milliProcessors(), limits.milliProcessors())
                && isWithin(amount.memoryBytes(), limits.memoryBytes())
                && isWithin(amount.accelerators(), limits.accelerators());
    }

    private static boolean isWithin(long amount, long limit) {
        return limit == 0 || amount <= limit;
    }
}
