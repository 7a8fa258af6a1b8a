package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import io.netty.buffer.Unpooled;
import org.testng.annotations.Test;

/** Tests how the parts of a body are collected. */
public class RequestBodyTest {
    private static final int MAX = 64 << 10;

    private static RequestBody body(int expected, int... parts) {
        RequestBody body = new RequestBody(expected, MAX);
        for (int bytes : parts) {
            body.append(Unpooled.wrappedBuffer(new byte[bytes]));
        }
        return body;
    }

    @Test
    public void hasTheBytesOfAllItsParts() {
        assertEquals(body(0).toBytes().length, 0);
        assertEquals(body(0, 5, 0, 700).toBytes().length, 705);
        assertEquals(body(3, 1, 2).toBytes().length, 3);
    }

    /** Guards against a chunked body that takes more memory than the largest body needs. */
    @Test
    public void allocatesNoMoreThanTheLargestBodyNeeds() {
        RequestBody largest = body(0, 5000, 50_000, MAX - 55_000);

        assertSame(largest.toBytes(), largest.toBytes(), "the body's array is larger than it");
    }
}
