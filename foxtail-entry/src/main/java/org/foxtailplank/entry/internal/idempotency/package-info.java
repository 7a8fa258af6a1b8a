/** Carries out, over log and peer link, what the core decides about requests with keys. */
package org.foxtailplank.entry.internal.idempotency;
