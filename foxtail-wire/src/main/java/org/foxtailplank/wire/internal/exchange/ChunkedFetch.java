package org.foxtailplank.wire.internal.exchange;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.foxtailplank.wire.ConfigurationAnswer;

/** Reassembles a snapshot that is fetched from one peer in chunks. */
final class ChunkedFetch {

    private final int mMaxBytes;
    private long mNumber;
    private ByteString mBytes = ByteString.EMPTY;

    ChunkedFetch(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    long number() {
        return mNumber;
    }

    long from() {
        return mBytes.size();
    }

    /** Appends a chunk; false if it is invalid or does not follow the previous one. */
    boolean append(ConfigurationAnswer chunk) {
        if (chunk.size() <= 0 || chunk.size() > mMaxBytes || chunk.chunk().isEmpty()) {
            return false;
        }
        if (chunk.stateNumber() != mNumber) {
            mNumber = chunk.stateNumber();
            mBytes = ByteString.EMPTY;
        }
        boolean contiguous = chunk.from() == mBytes.size();
        if (!contiguous || mBytes.size() + chunk.chunk().size() > chunk.size()) {
            return false;
        }
        mBytes = mBytes.concat(chunk.chunk());
        return true;
    }

    /** Returns the snapshot if the last chunk completes it. */
    Optional<byte[]> complete(ConfigurationAnswer last) {
        return mBytes.size() == last.size() ? Optional.of(mBytes.toByteArray()) : Optional.empty();
    }
}
