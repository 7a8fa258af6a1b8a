package org.foxtailplank.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/**
 * A request that was received, or the status with which it is rejected.
 *
 * @param request the request, unless it is rejected
 * @param rejection the status, if it is rejected
 * @param keepAlive whether the connection stays open after the answer
 * @param place memory that it holds in {@link BodyMemory}, in bytes
 * @param waitingBytes memory that it takes while it waits for earlier requests, in bytes
 */
record ReceivedRequest(
        Optional<HttpRequest> request,
        Optional<HttpResponseStatus> rejection,
        boolean keepAlive,
        int place,
        int waitingBytes) {

    ReceivedRequest {
        if (request.isPresent() == rejection.isPresent()) {
            throw new IllegalArgumentException("either a request or a rejection is needed");
        }
        if (place < 0 || waitingBytes < 0) {
            throw new IllegalArgumentException("sizes must not be negative");
        }
    }

    static ReceivedRequest accepted(
            HttpRequest request, boolean keepAlive, int place, int waitingBytes) {
        return new ReceivedRequest(
                Optional.of(request), Optional.empty(), keepAlive, place, waitingBytes);
    }

    static ReceivedRequest rejected(HttpResponseStatus status) {
        return new ReceivedRequest(Optional.empty(), Optional.of(status), false, 0, 0);
    }

    /** Whether the answer has no body. */
    boolean isHead() {
        return request.map(r -> r.method().equals(HttpMethod.HEAD.name())).orElse(false);
    }
}
