package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.foxtailplank.id.ServiceId;

/**
 * Forwards a request to the node that issued its idempotency key.
 *
 * @param requestId id for tracing the request
 * @param service service of the request
 * @param method HTTP method
 * @param path path and query below the service
 * @param headers header fields, in order
 * @param body complete body
 * @param deadline remaining time
 */
public record RequestHandover(
        String requestId,
        ServiceId service,
        String method,
        String path,
        List<HeaderField> headers,
        ByteString body,
        Duration deadline)
        implements PeerMessage {

    public RequestHandover {
        headers = List.copyOf(headers);
    }
}
