/** Decides whether a failed attempt may be repeated. */
package org.foxtailplank.internal.retry;
