package org.foxtailplank.internal.idempotency;

import java.nio.charset.StandardCharsets;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;

/**
 * Identifies the content of a request, to detect a key reused for a different request.
 *
 * @param digest digest of team, service, method, path and body
 */
public record Fingerprint(Digest digest) {

    /** Computes the fingerprint of a request. */
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
