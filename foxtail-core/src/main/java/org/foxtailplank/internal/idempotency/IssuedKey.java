package org.foxtailplank.internal.idempotency;

import java.time.Instant;

/**
 * A key issued by an entry; only its issuer runs requests with it.
 *
 * @param issuer the entry that issued the key
 * @param number number of the key, unique per issuer
 * @param expires end of the time in which the key may be used first, by the issuer's clock
 */
public record IssuedKey(Claimant issuer, long number, Instant expires) {}
