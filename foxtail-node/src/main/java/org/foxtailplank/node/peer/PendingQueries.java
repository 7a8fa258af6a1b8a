package org.foxtailplank.node.peer;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.node.Timers;

/** Queries to the owner that have no response yet. */
final class PendingQueries {
    /**
     * How long to wait for a response, in milliseconds: the owner answers from memory, and the
     * caller's deadline must leave time to read the journal instead.
     */
    private static final long RESPONSE_TIMEOUT_MS = 400;

    private final Timers mTimers;
    private final Map<Long, Consumer<Optional<PeerFrame.QueryResponse>>> mPending =
            new LinkedHashMap<>();
    private long mLastNumber;

    PendingQueries(Timers timers) {
        mTimers = timers;
    }

    /** Registers a query that is about to be sent and returns its number. */
    long add(Consumer<Optional<PeerFrame.QueryResponse>> callback) {
        long number = ++mLastNumber;
        mPending.put(number, callback);
        mTimers.after(RESPONSE_TIMEOUT_MS, () -> complete(number, Optional.empty()));
        return number;
    }

    /** Completes a query; a response to a query that is no longer pending is ignored. */
    void complete(long number, Optional<PeerFrame.QueryResponse> response) {
        Consumer<Optional<PeerFrame.QueryResponse>> callback = mPending.remove(number);
        if (callback != null) {
            callback.accept(response);
        }
    }

    /** Completes all pending queries without a result after the connection was lost. */
    void failAll() {
        List<Consumer<Optional<PeerFrame.QueryResponse>>> failed = List.copyOf(mPending.values());
        mPending.clear();
        failed.forEach(c -> c.accept(Optional.empty()));
    }
}
