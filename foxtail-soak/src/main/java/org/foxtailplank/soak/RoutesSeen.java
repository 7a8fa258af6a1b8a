package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.soak.SoakEvent.RouteAnswered;
import org.foxtailplank.soak.SoakEvent.RouteChanged;

/** The changes of routes, and the versions by which nodes answered. */
final class RoutesSeen {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final long NEVER = Long.MAX_VALUE;

    /**
     * How much later a request that an older version handles may have been sent, in milliseconds.
     */
    private static final long TOLERANCE_MS = 250;

    /** The same of a node that is slow or paused. */
    private static final long SLOW_TOLERANCE_MS = 8 * TOLERANCE_MS;

    /** A node that answers within this time, in milliseconds, is neither slow nor paused. */
    private static final long PROMPT_MS = 100;

    private final Map<String, Long> mAddedBy = new HashMap<>();
    private final Map<String, Long> mDroppedBy = new HashMap<>();
    private final Map<String, Long> mAddedMs = new HashMap<>();
    private final Map<String, List<Answer>> mAnswers = new HashMap<>();
    private final Set<String> mServed = new HashSet<>();
    private long mVersion;

    /** An answer that only versions from {@code lowest} to {@code highest} allow. */
    private record Answer(RouteAnswered event, long lowest, long highest) {
        /** Whether the other request shows a newer version and was sent clearly before. */
        boolean goesBackFrom(Answer other) {
            long promptMs = event.atMs() - event.sentMs();
            long toleranceMs = promptMs <= PROMPT_MS ? TOLERANCE_MS : SLOW_TOLERANCE_MS;
            return highest < other.lowest && event.sentMs() - other.event.sentMs() > toleranceMs;
        }
    }

    void changed(RouteChanged event) {
        mVersion++;
        if (event.added()) {
            mAddedBy.put(event.route(), mVersion);
            mAddedMs.put(event.route(), event.atMs());
        } else {
            mDroppedBy.put(event.route(), mVersion);
        }
    }

    /** Adds an answer; returns what is wrong with it. */
    Optional<String> answered(RouteAnswered event) {
        if (event.status() != OK && event.status() != NOT_FOUND) {
            return Optional.empty();
        }
        String text =
                "node " + event.node() + " answers " + event.status() + " for " + event.route();
        if (event.status() == OK && !mAddedBy.containsKey(event.route())) {
            return Optional.of(text + ", which was never added");
        }
        boolean dropped = mDroppedBy.containsKey(event.route());
        long addedMs = mAddedMs.getOrDefault(event.route(), NEVER);
        boolean late = addedMs != NEVER && event.sentMs() - addedMs > PromiseBounds.CONFIG_MS;
        if (event.status() == NOT_FOUND && late && !dropped) {
            return Optional.of(text + " long after it was added");
        }
        Answer answer = answer(event);
        List<Answer> others =
                mAnswers.computeIfAbsent(event.node() + "#" + event.boot(), n -> new ArrayList<>());
        others.add(answer);
        return others.stream()
                .filter(o -> answer.goesBackFrom(o) || o.goesBackFrom(answer))
                .findFirst()
                .map(o -> text + " against the order of " + answer + " and " + o);
    }

    private Answer answer(RouteAnswered event) {
        String route = event.route();
        long addedBy = mAddedBy.getOrDefault(route, NEVER);
        long droppedBy = mDroppedBy.getOrDefault(route, NEVER);
        String served = event.node() + "#" + event.boot() + route;
        if (event.status() == OK) {
            mServed.add(served);
            return new Answer(event, addedBy, droppedBy == NEVER ? NEVER : droppedBy - 1);
        }
        if (droppedBy != NEVER && mServed.contains(served)) {
            return new Answer(event, droppedBy, NEVER);
        }
        // It may be older than the addition or newer than the removal.
        boolean before = droppedBy == NEVER && addedBy != NEVER;
        return new Answer(event, 0, before ? addedBy - 1 : NEVER);
    }
}
