package org.foxtailplank.internal.idempotency;

import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;

/**
 * An idempotency key, reduced to a digest.
 *
 * @param digest digest of the key and of its scope
 */
public record RequestKey(Digest digest) {

    /** Returns the key for a caller's text, scoped to a team and a service. */
    public static RequestKey of(TeamId team, ServiceId service, String text) {
        return new RequestKey(Digest.ofTexts(team.value(), service.value(), text));
    }

    /**
     * Returns the key for the decoded content of an issued key, since several base64 texts decode
     * to the same content and must not count as different keys.
     */
    public static RequestKey of(IssuedKey key) {
        return new RequestKey(
                Digest.ofTexts(
                        key.issuer().node().value(),
                        Long.toString(key.issuer().incarnation()),
                        Long.toString(key.number())));
    }
}
