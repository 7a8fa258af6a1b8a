/**
 * Runs a request that must not be repeated at most once, whichever entries receive it.
 *
 * <p>{@link org.foxtailplank.internal.idempotency.KeyedRequests} decides for one entry. The owner
 * of a key alone may run its requests; everybody else hands them to the owner. The owner of a key
 * that a caller chose is its first claimant on the log; the owner of an issued key is its issuer.
 */
package org.foxtailplank.internal.idempotency;
