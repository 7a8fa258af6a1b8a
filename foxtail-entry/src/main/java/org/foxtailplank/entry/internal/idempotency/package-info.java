/** Performs the actions of the key coordinator, over the platform's log and the peer link. */
package org.foxtailplank.entry.internal.idempotency;
