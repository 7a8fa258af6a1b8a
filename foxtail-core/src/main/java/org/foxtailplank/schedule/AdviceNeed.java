package org.foxtailplank.schedule;

/** Why a step needs placement advice, the most pressing need first. */
enum AdviceNeed {
    /** A start is recorded and lacks a valid ticket. */
    HELD_START,

    /** A task could start at once on a worker with room. */
    START,

    /** A task is to move off a worker, and no worker with room is known to be allowed. */
    MOVE,

    /** The most urgent task waits for room, which may be made for it where it has a ticket. */
    ROOM;

    boolean isMorePressingThan(AdviceNeed other) {
        return compareTo(other) < 0;
    }
}
