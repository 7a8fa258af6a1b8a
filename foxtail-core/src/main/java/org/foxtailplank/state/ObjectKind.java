package org.foxtailplank.state;

/** Kinds of objects that have versions. */
public enum ObjectKind {
    /** The one configuration. */
    CONFIGURATION,
    /** The right to act in an availability zone. */
    SHARD,
    /** A VM and its pool. */
    VM,
    /** A pool and its target. */
    POOL,
    /** A team and its quota. */
    TEAM,
    /** A maintenance wave. */
    WAVE,
    /** A job and its tasks. */
    JOB
}
