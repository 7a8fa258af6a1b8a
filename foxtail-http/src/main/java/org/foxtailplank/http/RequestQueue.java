package org.foxtailplank.http;

import java.util.ArrayDeque;
import java.util.Deque;

/** Requests of a connection that wait for an earlier one, in the order of their arrival. */
final class RequestQueue {
    private static final int MAX_REQUESTS = 16;

    private final Deque<ReceivedRequest> mRequests = new ArrayDeque<>();
    private final int mMaxBytes;
    private int mBytes;

    /** Creates an empty queue that is full once its requests take this many bytes. */
    RequestQueue(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /** Whether no more requests should be read. */
    boolean isFull() {
        return mRequests.size() >= MAX_REQUESTS || mBytes >= mMaxBytes;
    }

    /** Whether a request holds memory in {@link BodyMemory}. */
    boolean holdsPlace() {
        return mRequests.stream().anyMatch(r -> r.place() > 0);
    }

    void add(ReceivedRequest request) {
        mRequests.add(request);
        mBytes += request.waitingBytes();
    }

    /** Removes the first request; there must be one. */
    ReceivedRequest remove() {
        ReceivedRequest first = mRequests.remove();
        mBytes -= first.waitingBytes();
        return first;
    }

    /** Removes all requests, and gives up the memory that they hold. */
    void clear(BodyMemory memory) {
        while (!isEmpty()) {
            int place = remove().place();
            if (place > 0) {
                memory.release(place);
            }
        }
    }
}
