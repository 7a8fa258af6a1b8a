package org.foxtailplank.internal.idempotency;

/**
 * An entry asks to own a key.
 *
 * @param key the key
 * @param fingerprint request that it came with
 */
public record Claim(RequestKey key, Fingerprint fingerprint) {}
