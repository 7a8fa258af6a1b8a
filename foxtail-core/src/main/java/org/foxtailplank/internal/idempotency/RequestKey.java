package org.foxtailplank.internal.idempotency;

import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;

/**
 * An idempotency key as the entries know it.
 *
 * @param digest digest of the caller's text and of the scope it is unique in
 */
public record RequestKey(Digest digest) {

    /** The key that a caller wrote; teams and services can't meet each other's keys. */
    public static RequestKey of(TeamId team, ServiceId service, String text) {
        return new RequestKey(Digest.ofTexts(team.value(), service.value(), text));
    }

    /**
     * An issued key, by what it means: base64 has several texts for one meaning, and each would
     * look like a key of its own and run once more.
     */
    public static RequestKey of(IssuedKey key) {
        return new RequestKey(
                Digest.ofTexts(
                        key.issuer().node().value(),
                        Long.toString(key.issuer().incarnation()),
                        Long.toString(key.number())));
    }
}
