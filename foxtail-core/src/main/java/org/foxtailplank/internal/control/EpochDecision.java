package org.foxtailplank.internal.control;

/** Whether a controller tries for the epoch of a shard. */
public sealed interface EpochDecision {
    /** It holds the epoch and may act under it. */
    record Held() implements EpochDecision {}

    /** Another node holds the epoch, or should take it first. */
    record Leave() implements EpochDecision {}

    /**
     * It tries to take the epoch.
     *
     * @param replaces epoch number that is replaced
     * @param why reason for the log
     */
    record Take(long replaces, String why) implements EpochDecision {}
}
