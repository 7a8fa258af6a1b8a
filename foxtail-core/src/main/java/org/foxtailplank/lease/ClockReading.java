package org.foxtailplank.lease;

/**
 * Reading of the monotonic and the wall clock of a VM. The monotonic clock stops while the VM is
 * suspended, and the wall clock may be set back.
 *
 * @param steadyMs monotonic clock, in milliseconds
 * @param wallMs milliseconds since the Unix epoch
 */
public record ClockReading(long steadyMs, long wallMs) {

    /**
     * Returns the time elapsed since an earlier reading, by whichever clock advanced more. A
     * suspension or a wall clock step can then only overestimate it, unless the two coincide.
     */
    public long elapsedSince(ClockReading earlier) {
        return Math.max(steadyMs - earlier.steadyMs, wallMs - earlier.wallMs);
    }

    /** Returns the reading of both clocks some time earlier. */
    public ClockReading minusMs(long ms) {
        return new ClockReading(steadyMs - ms, wallMs - ms);
    }
}
