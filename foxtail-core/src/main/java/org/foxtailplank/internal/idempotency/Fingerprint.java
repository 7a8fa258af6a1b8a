package org.foxtailplank.internal.idempotency;

import java.nio.charset.StandardCharsets;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;

/**
 * What makes two requests the same request.
 *
 * @param digest digest of team, service, method, path and body
 */
public record Fingerprint(Digest digest) {

    /** The fingerprint of a request. */
    public static Fingerprint of(
            TeamId team, ServiceId service, String method, String path, byte[] body) {
        return new Fingerprint(
                Digest.of(
                        team.value().getBytes(StandardCharsets.UTF_8),
                        service.value().getBytes(StandardCharsets.UTF_8),
                        method.getBytes(StandardCharsets.UTF_8),
                        path.getBytes(StandardCharsets.UTF_8),
                        body));
    }
}
