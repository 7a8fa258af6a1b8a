/**
 * Runs requests with idempotency keys at most once across all entries.
 *
 * <p>{@link org.foxtailplank.internal.idempotency.KeyCoordinator} makes the decisions of one entry.
 * Only the owner of a key runs its requests; other entries hand them over to the owner. A key
 * chosen by a caller is owned by the first entry to claim it on the log, an issued key by its
 * issuer.
 */
package org.foxtailplank.internal.idempotency;
