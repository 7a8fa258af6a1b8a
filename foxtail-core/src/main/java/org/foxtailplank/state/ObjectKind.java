package org.foxtailplank.state;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of objects that have versions. */
public enum ObjectKind {
    /** The one configuration. */
    CONFIGURATION(1),
    /** The right to act in an availability zone. */
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

    /** The kind that records name by a number; empty for one newer than this program. */
    public static Optional<ObjectKind> of(int number) {
        return Arrays.stream(values()).filter(k -> k.mNumber == number).findFirst();
    }

    /** Number that names the kind in records; never given to another kind. */
    public int number() {
        return mNumber;
    }
}
