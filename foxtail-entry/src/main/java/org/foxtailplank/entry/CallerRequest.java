package org.foxtailplank.entry;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.request.RequestClass;

/**
 * A caller's request, parsed and whole.
 *
 * @param id id of the request, on every log line and towards the backend server
 * @param service service it is for
 * @param method HTTP method
 * @param target path and query at the backend server
 * @param requestClass how urgent it is
 * @param team team that its slots are counted for
 * @param arrived when it arrived, in {@link System#nanoTime}
 * @param deadline when its answer is of no more use, in {@link System#nanoTime}
 * @param repeatable whether it may be run more than once
 * @param key idempotency key
 * @param contentType media type of the body
 * @param headers headers that are passed on
 * @param body the whole body
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

    /** Name of the header that carries the request's id, to backend servers and on answers. */
    public static final String ID_HEADER = "Foxtail-Request-Id";

    /** Name of the header that carries an idempotency key. */
    public static final String KEY_HEADER = "Idempotency-Key";

    public CallerRequest {
        headers = List.copyOf(headers);
    }
}
