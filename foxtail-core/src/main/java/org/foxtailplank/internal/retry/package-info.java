/** Limits on retries of failed attempts. */
package org.foxtailplank.internal.retry;
