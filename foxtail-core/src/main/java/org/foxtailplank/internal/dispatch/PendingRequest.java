package org.foxtailplank.internal.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.admission.QueuedRequest;

/**
 * A request from its admission until the end of its last attempt.
 *
 * @param <T> type that represents the request
 */
public final class PendingRequest<T> {

    private final QueuedRequest<T> mQueuedRequest;
    private final RetrySafety mRetrySafety;
    private final Set<VmId> mTriedInstances = new HashSet<>();
    private int mAttempts;

    private PendingRequest(QueuedRequest<T> queuedRequest, RetrySafety retrySafety) {
        mQueuedRequest = queuedRequest;
        mRetrySafety = retrySafety;
    }

    /** Creates a request that hasn't been attempted. */
    public static <T> PendingRequest<T> of(
            QueuedRequest<T> queuedRequest, RetrySafety retrySafety) {
        return new PendingRequest<>(queuedRequest, retrySafety);
    }

    /** Returns the caller's representation of the request. */
    public T item() {
        return mQueuedRequest.request();
    }

    /** Returns which failed attempts may be retried. */
    public RetrySafety retrySafety() {
        return mRetrySafety;
    }

    /** Returns the queue entry of the request. */
    QueuedRequest<T> queuedRequest() {
        return mQueuedRequest;
    }

    /** Returns the attempted instances, which retries avoid if possible. */
    Set<VmId> triedInstances() {
        return mTriedInstances;
    }

    int attempts() {
        return mAttempts;
    }

    void recordAttempt(VmId vm) {
        mTriedInstances.add(vm);
        mAttempts++;
    }

    long remainingTime(long now) {
        return mQueuedRequest.deadline() - now;
    }
}
