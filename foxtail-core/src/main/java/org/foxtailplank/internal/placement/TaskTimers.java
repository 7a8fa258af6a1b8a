package org.foxtailplank.internal.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** When to look at tasks again that may never be heard of; each task has few entries at a time. */
final class TaskTimers {

    private record Timer(long atMs, PlacedTask task) {}

    private final PriorityQueue<Timer> mQueue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs));

    void at(long atMs, PlacedTask task) {
        mQueue.add(new Timer(atMs, task));
    }

    /** The next task whose time has come. */
    Optional<PlacedTask> takeDue(long nowMs) {
        Timer first = mQueue.peek();
        if (first == null || first.atMs() > nowMs) {
            return Optional.empty();
        }
        return Optional.of(mQueue.poll().task());
    }
}
