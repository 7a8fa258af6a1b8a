package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Holds a new owner's starts back until it knows what runs.
 *
 * <p>Guards against running a task twice: an earlier owner may have started it on a worker that
 * this owner has not seen yet. A service's tasks may start when each worker that served it at the
 * take-over has been looked at, or when every lease that the earlier owner gave is surely over: a
 * worker that was looked at refuses the earlier owner's orders, and one that was not can't run
 * anything any more.
 */
final class Settling {
    private final Map<String, Set<String>> mUnseen = new HashMap<>();
    private final long mUntilMs;

    Settling(long nowMs, ScheduleLimits limits) {
        mUntilMs = nowMs + limits.surelyLapsedMs();
    }

    void mustSee(String service, String worker) {
        mUnseen.computeIfAbsent(service, s -> new HashSet<>()).add(worker);
    }

    /** The worker was looked at, or its life is over. */
    void seen(String worker) {
        mUnseen.values().forEach(s -> s.remove(worker));
    }

    boolean isSettled(String service, long nowMs) {
        return nowMs >= mUntilMs || mUnseen.getOrDefault(service, Set.of()).isEmpty();
    }
}
