/** The HTTP server for callers: connections, request parsing, responses. */
package org.foxtailplank.entry.internal.caller;
