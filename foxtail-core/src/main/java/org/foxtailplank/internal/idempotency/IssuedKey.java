package org.foxtailplank.internal.idempotency;

import java.time.Instant;

/**
 * A key that an entry gave out and alone may run.
 *
 * @param issuer the entry
 * @param number tells the issuer's keys apart
 * @param expires until when it may be used first, by the issuer's clock
 */
public record IssuedKey(Claimant issuer, long number, Instant expires) {}
