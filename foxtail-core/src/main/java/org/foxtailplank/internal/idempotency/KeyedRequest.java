package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.Optional;

/**
 * A caller's request that must not be repeated.
 *
 * @param token names it within this entry
 * @param key its key
 * @param fingerprint what it asks for
 * @param issued set when the key was issued, empty when the caller chose it
 * @param deadline when its caller stops waiting
 */
public record KeyedRequest(
        long token,
        RequestKey key,
        Fingerprint fingerprint,
        Optional<IssuedKey> issued,
        Instant deadline) {}
