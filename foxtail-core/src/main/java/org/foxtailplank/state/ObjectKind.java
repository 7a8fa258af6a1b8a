package org.foxtailplank.state;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of versioned objects. */
public enum ObjectKind {
    /** The configuration; a singleton. */
    CONFIGURATION(1),
    /** The epoch of an availability zone. */
    SHARD(2),
    /** A VM and its pool. */
    VM(3),
    /** A pool and its target. */
    POOL(4),
    /** A team and its quota. */
    TEAM(5),
    /** A maintenance wave. */
    WAVE(6),
    /** A job and its tasks. */
    JOB(7);

    private final int mNumber;

    ObjectKind(int number) {
        mNumber = number;
    }

    /**
     * Returns the kind with this record number; empty for a kind that this program version does not
     * know.
     */
    public static Optional<ObjectKind> of(int number) {
        return Arrays.stream(values()).filter(k -> k.mNumber == number).findFirst();
    }

    /** Returns the number that identifies the kind in records; numbers are never reused. */
    public int number() {
        return mNumber;
    }
}
