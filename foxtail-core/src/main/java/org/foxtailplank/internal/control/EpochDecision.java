package org.foxtailplank.internal.control;

/** Decision whether a controller tries to take the epoch of a shard. */
public sealed interface EpochDecision {
    /** The controller holds the epoch and may act under it. */
    record Held() implements EpochDecision {}

    /** Another node holds the epoch, or should take it first. */
    record StandBy() implements EpochDecision {}

    /**
     * The controller tries to take the epoch.
     *
     * @param replaces epoch number that is replaced
     * @param why reason, for log output
     */
    record Take(long replaces, String why) implements EpochDecision {}
}
