package org.foxtailplank.node.journal;

import java.util.function.Consumer;
import org.foxtailplank.schedule.UnstoredJob;

/** Hands records over to the owner, which writes them to the journal for all nodes. */
public interface Handover {
    /**
     * Maximum age of an owner's last stored record at which it counts as able to store others, in
     * milliseconds; more than two of its heartbeat intervals.
     */
    long MAX_STORE_AGE_MS = 1000;

    /** Number of store latencies that are added to the maximum age. */
    int LATENCY_FACTOR = 4;

    /**
     * Whether an owner is able to store records.
     *
     * @param storedMsAgo time since its last record was stored, in milliseconds
     * @param latencyMs recent latency of the store, in milliseconds
     */
    static boolean canStore(long storedMsAgo, long latencyMs) {
        return storedMsAgo < MAX_STORE_AGE_MS + LATENCY_FACTOR * latencyMs;
    }

    /** Whether there is an owner that is reachable and able to store records. */
    boolean isAvailable();

    /** Hands a record over; {@code callback} is always called, exactly once. */
    void handOver(byte[] record, Consumer<StoreOutcome> callback);

    /**
     * Reports to the owner, if it is reachable, that a submission was rejected whose caller is
     * expected to come back.
     */
    default void reportUnstored(UnstoredJob job) {}
}
