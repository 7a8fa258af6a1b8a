/** Append queueing, rate limiting and resolution of in-doubt appends for the log client. */
package org.foxtailplank.internal.log;
