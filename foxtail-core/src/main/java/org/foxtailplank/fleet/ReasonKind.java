package org.foxtailplank.fleet;

/** Kinds of reasons in an explanation. */
public enum ReasonKind {
    /** The object is in its intended state. */
    SETTLED,
    /** An action was intended and is not yet confirmed. */
    ACTION_PENDING,
    /** The VM is moving to another pool. */
    MOVING,
    /** The VM is powered on for demand, growth or a reserve. */
    WANTED,
    /** The VM is not needed, or does not serve. */
    NOT_WANTED,
    /** The VM does not serve although it should. */
    FAILED,
    /** An availability budget does not allow the action. */
    BUDGET,
    /** A step of a maintenance wave is possible or in progress. */
    WAVE,
    /** An operator or a controller requested it. */
    ORDERED,
    /** There is not enough free capacity. */
    NO_ROOM,
    /** The team exceeds its quota. */
    QUOTA,
    /** It can't happen without a change of settings, job or pool. */
    NEVER,
    /** The worker is quarantined because its tasks failed. */
    QUARANTINED
}
