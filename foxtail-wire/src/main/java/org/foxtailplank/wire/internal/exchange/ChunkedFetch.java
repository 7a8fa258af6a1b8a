package org.foxtailplank.wire.internal.exchange;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.foxtailplank.wire.ConfigurationAnswer;

/** A rolled-up state on its way here, chunk by chunk from one peer. */
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

    /** Takes a chunk; false when it does not fit what came before. */
    boolean take(ConfigurationAnswer chunk) {
        if (chunk.size() <= 0 || chunk.size() > mMaxBytes || chunk.chunk().isEmpty()) {
            return false;
        }
        if (chunk.stateNumber() != mNumber) {
            mNumber = chunk.stateNumber();
            mBytes = ByteString.EMPTY;
        }
        boolean fits = chunk.from() == mBytes.size();
        if (!fits || mBytes.size() + chunk.chunk().size() > chunk.size()) {
            return false;
        }
        mBytes = mBytes.concat(chunk.chunk());
        return true;
    }

    /** The whole state once the last chunk is there. */
    Optional<byte[]> whole(ConfigurationAnswer last) {
        return mBytes.size() == last.size() ? Optional.of(mBytes.toByteArray()) : Optional.empty();
    }
}
