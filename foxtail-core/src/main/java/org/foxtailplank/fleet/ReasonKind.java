package org.foxtailplank.fleet;

/** Kinds of reasons why something is where it is. */
public enum ReasonKind {
    /** It is as it should be. */
    SETTLED,
    /** An action was intended and is not confirmed. */
    ACTION_PENDING,
    /** It is on its way to another pool. */
    MOVING,
    /** It is powered on for demand, growth or a reserve. */
    WANTED,
    /** It is powered off because nothing needs it. */
    NOT_WANTED,
    /** It does not serve though it should. */
    FAILED,
    /** An availability budget holds it back. */
    BUDGET,
    /** A maintenance wave waits for it, or it for a wave. */
    WAVE,
    /** An operator or a controller has ordered it. */
    ORDERED,
    /** No worker has room. */
    NO_ROOM,
    /** Its team has more than its share. */
    QUOTA,
    /** It can never run. */
    NEVER,
    /** It gets no tasks because those it started failed. */
    QUARANTINED
}
