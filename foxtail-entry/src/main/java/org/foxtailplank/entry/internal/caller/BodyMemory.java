package org.foxtailplank.entry.internal.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.util.ByteString;

/**
 * Memory for the bodies of all requests together.
 *
 * <p>Each body is bounded, but a caller with many connections could send as many bodies at once and
 * fill the heap, which takes the entry away from everybody. What counts is what has arrived: a slow
 * sender that announces much holds little.
 */
final class BodyMemory {

    private final long mLimit;
    private final AtomicLong mTaken = new AtomicLong();

    BodyMemory(long limit) {
        mLimit = limit;
    }

    Share share() {
        return new Share();
    }

    /** What one body has taken. */
    final class Share {
        private final AtomicLong mOwn = new AtomicLong();

        ByteString take(ByteString bytes) throws FullException {
            mOwn.addAndGet(bytes.size());
            if (mTaken.addAndGet(bytes.size()) > mLimit) {
                throw new FullException();
            }
            return bytes;
        }

        void free() {
            mTaken.addAndGet(-mOwn.getAndSet(0));
        }
    }

    /** All memory for bodies is taken. */
    static final class FullException extends Exception {
        private static final long serialVersionUID = 1L;

        FullException() {
            super("the memory for bodies is taken");
        }
    }
}
