package org.foxtailplank.internal.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Timers for checks of placed tasks; a task may have several. */
final class TaskTimers {

    private record Timer(long atMs, PlacedTask task) {}

    private final PriorityQueue<Timer> mQueue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs));

    void schedule(long atMs, PlacedTask task) {
        mQueue.add(new Timer(atMs, task));
    }

    /** Removes and returns the next task that is due. */
    Optional<PlacedTask> pollDue(long nowMs) {
        Timer first = mQueue.peek();
        if (first == null || first.atMs() > nowMs) {
            return Optional.empty();
        }
        return Optional.of(mQueue.poll().task());
    }
}
