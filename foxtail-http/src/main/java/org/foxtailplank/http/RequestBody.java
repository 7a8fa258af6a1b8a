package org.foxtailplank.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Collects the body of a request. Bytes are copied, since a small part would keep the whole buffer
 * that it was read into.
 */
final class RequestBody {
    private static final byte[] NONE = {};
    private static final int INITIAL_BYTES = 512;

    private final int mExpected;
    private final int mMax;
    private byte[] mBytes = NONE;
    private int mSize;

    /**
     * Creates an empty body.
     *
     * @param expected its announced size in bytes, or 0
     * @param max largest size in bytes, up to which memory is allocated ahead
     */
    RequestBody(int expected, int max) {
        mExpected = expected;
        mMax = max;
    }

    int size() {
        return mSize;
    }

    void append(ByteBuf part) {
        int added = part.readableBytes();
        if (added == 0) {
            return;
        }
        if (mSize + added > mBytes.length) {
            int doubled = Math.min(Math.max(INITIAL_BYTES, 2 * mBytes.length), mMax);
            int capacity = Math.max(mSize + added, mExpected > 0 ? mExpected : doubled);
            mBytes = Arrays.copyOf(mBytes, capacity);
        }
        part.readBytes(mBytes, mSize, added);
        mSize += added;
    }

    /** Returns the bytes without copying them, if their size was announced. */
    byte[] toBytes() {
        return mSize == mBytes.length ? mBytes : Arrays.copyOf(mBytes, mSize);
    }
}
