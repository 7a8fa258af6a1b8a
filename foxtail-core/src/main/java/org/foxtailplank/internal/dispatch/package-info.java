/** Queueing, routing and retries of requests at one entry. */
package org.foxtailplank.internal.dispatch;
