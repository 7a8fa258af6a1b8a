package org.foxtailplank.lease;

import java.util.Optional;

/**
 * Time as of which a copy of data that others change is known to be current.
 *
 * <p>A response proves that the copy was current when the request was sent, not when the response
 * arrived: it may have been in transit or in a buffer for seconds.
 *
 * @param requestedAt when the latest request was sent whose response confirmed the copy
 */
public record Confirmation(Optional<ClockReading> requestedAt) {
    /** The copy was never confirmed. */
    public static final Confirmation NONE = new Confirmation(Optional.empty());

    /** Returns the later of this confirmation and another one. */
    public Confirmation extendedBy(ClockReading requested) {
        boolean newer = requestedAt.map(p -> requested.steadyMs() >= p.steadyMs()).orElse(true);
        return newer ? new Confirmation(Optional.of(requested)) : this;
    }

    /** Time since the copy was known to be current, in milliseconds. */
    public long ageMs(ClockReading now) {
        return requestedAt.map(now::elapsedSince).orElse(Long.MAX_VALUE);
    }
}
