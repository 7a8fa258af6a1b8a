package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.Optional;

/**
 * A caller's request with an idempotency key.
 *
 * @param token identifies the request within this entry
 * @param key idempotency key
 * @param fingerprint fingerprint of the request's content
 * @param issued the issued key; empty when the caller chose the key
 * @param deadline time until which the caller waits
 */
public record KeyedRequest(
        long token,
        RequestKey key,
        Fingerprint fingerprint,
        Optional<IssuedKey> issued,
        Instant deadline) {}
