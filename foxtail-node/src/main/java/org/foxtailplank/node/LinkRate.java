package org.foxtailplank.node;

/**
 * Bandwidth of a node's network link.
 *
 * @param megabitsPerS megabits per second; 0 if the settings don't name it
 */
public record LinkRate(double megabitsPerS) {
    /** A link of unknown rate. */
    public static final LinkRate UNKNOWN = new LinkRate(0);

    /**
     * Rate at which a link carries all traffic of an owner, in megabits per second: about what the
     * owner of forty nodes sends during a burst of jobs.
     */
    private static final double AMPLE_MEGABITS_PER_S = 100;

    /**
     * Longest delay before a node with a narrow link tries to take ownership, in milliseconds:
     * twice the random spread of such attempts.
     */
    private static final long MAX_TAKE_OVER_DELAY_MS = 600;

    /** Bytes that a link of one megabit per second carries in a millisecond. */
    private static final double BYTES_PER_MEGABIT_MS = 125;

    public LinkRate {
        if (!(megabitsPerS >= 0)) {
            throw new IllegalArgumentException("invalid link rate in Mbit/s: " + megabitsPerS);
        }
    }

    /** Returns whether this link carries the traffic of an owner; true if its rate is unknown. */
    public boolean isAmple() {
        return takeOverDelayMs() == 0;
    }

    /**
     * Returns how long a node with this link waits before it tries to take ownership, in
     * milliseconds, so that nodes with ample links go first.
     *
     * <p>An owner sends the journal to all other nodes and each task's text to a worker. On a
     * narrow link its appends and its calls to workers would time out during a burst of jobs.
     */
    public long takeOverDelayMs() {
        if (equals(UNKNOWN)) {
            return 0;
        }
        return (long)
                (MAX_TAKE_OVER_DELAY_MS * Math.max(0, 1 - megabitsPerS / AMPLE_MEGABITS_PER_S));
    }

    /** Returns the number of bytes that the whole link carries in a time given in milliseconds. */
    public long bytesIn(long ms) {
        return equals(UNKNOWN) ? Long.MAX_VALUE : (long) (megabitsPerS * BYTES_PER_MEGABIT_MS * ms);
    }

    /** Returns how long the whole link takes for these bytes, in milliseconds; 0 if unknown. */
    public long transferMs(long bytes) {
        return equals(UNKNOWN) ? 0 : (long) (bytes / (megabitsPerS * BYTES_PER_MEGABIT_MS));
    }
}
