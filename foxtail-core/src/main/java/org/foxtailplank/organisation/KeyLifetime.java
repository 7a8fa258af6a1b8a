package org.foxtailplank.organisation;

import java.util.OptionalLong;

/**
 * How long a node may accept keys without proof that none of them was revoked.
 *
 * <p>A node proves it with each confirmation that its configuration is the newest. A revocation
 * that such a confirmation doesn't contain was published after the confirmation was requested. A
 * node that rejects all keys once its latest confirmation is older than the limit therefore accepts
 * none that was revoked for longer than that, even if it is cut off.
 *
 * <p>The age is taken after the request was received. However long the process is suspended then,
 * the caller sent the request before.
 *
 * @param revocationMs time after the publication of a revocation from which no node may accept the
 *     key, in milliseconds; empty if nodes that are cut off may go on
 */
public record KeyLifetime(OptionalLong revocationMs) {
    /** Keys are accepted for as long as the node's configuration contains them. */
    public static final KeyLifetime UNLIMITED = new KeyLifetime(OptionalLong.empty());

    /** Part of the limit reserved for the drift of clocks. */
    private static final double MARGIN = 0.1;

    /** Maximum age of a node's latest confirmation at which it accepts keys, in milliseconds. */
    public long maxAgeMs() {
        return revocationMs.isPresent()
                ? (long) (revocationMs.getAsLong() * (1 - MARGIN))
                : Long.MAX_VALUE;
    }
}
