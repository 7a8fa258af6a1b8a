package org.foxtailplank.entry;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.request.RequestClass;

/**
 * A caller's parsed request with its complete body.
 *
 * @param id id of the request, written to log lines and sent to the backend server
 * @param service requested service
 * @param method HTTP method
 * @param target path and query at the backend server
 * @param requestClass urgency of the request
 * @param team team whose quota the request counts against
 * @param arrived time of arrival, in {@link System#nanoTime}
 * @param deadline time after which the caller no longer waits, in {@link System#nanoTime}
 * @param repeatable whether the request may be run more than once
 * @param key idempotency key
 * @param contentType media type of the body
 * @param headers headers to forward
 * @param body complete body
 */
public record CallerRequest(
        String id,
        ServiceId service,
        String method,
        String target,
        RequestClass requestClass,
        Optional<TeamId> team,
        long arrived,
        long deadline,
        boolean repeatable,
        Optional<String> key,
        String contentType,
        List<Header> headers,
        byte[] body) {

    /** Name of the header for the request's id, in requests to backend servers and in answers. */
    public static final String ID_HEADER = "Foxtail-Request-Id";

    /** Name of the header for the idempotency key. */
    public static final String KEY_HEADER = "Idempotency-Key";

    public CallerRequest {
        headers = List.copyOf(headers);
    }
}
