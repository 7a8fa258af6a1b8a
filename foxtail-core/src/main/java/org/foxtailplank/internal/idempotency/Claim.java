package org.foxtailplank.internal.idempotency;

/**
 * An entry's claim to own a key; the first claim on the stream wins.
 *
 * @param key claimed key
 * @param fingerprint fingerprint of the request that carried the key
 */
public record Claim(RequestKey key, Fingerprint fingerprint) {}
