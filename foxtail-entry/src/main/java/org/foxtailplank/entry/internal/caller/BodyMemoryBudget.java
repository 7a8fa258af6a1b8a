package org.foxtailplank.entry.internal.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.util.ByteString;

/**
 * Limits the memory for the bodies of all requests.
 *
 * <p>Although each body is bounded, a caller with many connections could fill the heap with
 * concurrent bodies. Only received bytes count, not the announced length.
 */
final class BodyMemoryBudget {

    private final long mLimit;
    private final AtomicLong mTotalReserved = new AtomicLong();

    BodyMemoryBudget(long limit) {
        mLimit = limit;
    }

    Reservation newReservation() {
        return new Reservation();
    }

    /** The memory reserved for one body. */
    final class Reservation {
        private final AtomicLong mReserved = new AtomicLong();

        ByteString take(ByteString bytes) throws MemoryExhaustedException {
            mReserved.addAndGet(bytes.size());
            if (mTotalReserved.addAndGet(bytes.size()) > mLimit) {
                throw new MemoryExhaustedException();
            }
            return bytes;
        }

        void release() {
            mTotalReserved.addAndGet(-mReserved.getAndSet(0));
        }
    }

    /** Thrown when the memory limit is exceeded. */
    static final class MemoryExhaustedException extends Exception {
        private static final long serialVersionUID = 1L;

        MemoryExhaustedException() {
            super("the memory for request bodies is exhausted");
        }
    }
}
