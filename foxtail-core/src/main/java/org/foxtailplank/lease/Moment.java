package org.foxtailplank.lease;

/**
 * A moment on two clocks of one VM, each of which fails in its own way: a steady clock stands still
 * while the VM is suspended, and the time of day may be set back.
 *
 * @param steadyMs milliseconds of the steady clock
 * @param wallMs milliseconds since 1970
 */
public record Moment(long steadyMs, long wallMs) {

    /**
     * Time since an earlier moment, by the clock that has moved further: a suspension and a step of
     * the time of day can then only make the time look longer, unless they cancel each other.
     */
    public long since(Moment earlier) {
        return Math.max(steadyMs - earlier.steadyMs, wallMs - earlier.wallMs);
    }
}
