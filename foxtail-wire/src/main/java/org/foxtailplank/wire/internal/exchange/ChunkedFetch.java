package org.foxtailplank.wire.internal.exchange;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.foxtailplank.wire.ConfigurationAnswer;
import org.foxtailplank.wire.RolledUpState;

/** A rolled-up state on its way here, chunk by chunk from one peer. */
final class ChunkedFetch {

    private final int mMaxBytes;
    private long mOffset;
    private ByteString mBytes = ByteString.EMPTY;

    ChunkedFetch(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    long offset() {
        return mOffset;
    }

    long position() {
        return mBytes.size();
    }

    /** Takes a chunk; false when it does not fit what came before. */
    boolean take(ConfigurationAnswer chunk) {
        if (chunk.size() <= 0 || chunk.size() > mMaxBytes || chunk.chunk().isEmpty()) {
            return false;
        }
        if (chunk.snapshotOffset() != mOffset) {
            mOffset = chunk.snapshotOffset();
            mBytes = ByteString.EMPTY;
        }
        boolean fits = chunk.position() == mBytes.size();
        if (!fits || mBytes.size() + chunk.chunk().size() > chunk.size()) {
            return false;
        }
        mBytes = mBytes.concat(chunk.chunk());
        return true;
    }

    /** The whole state once the last chunk is there. */
    Optional<RolledUpState> whole(ConfigurationAnswer last) {
        return mBytes.size() == last.size()
                ? Optional.of(new RolledUpState(mOffset, mBytes))
                : Optional.empty();
    }
}
