/** The HTTP side towards callers: connections, parsing, answers. */
package org.foxtailplank.entry.internal.caller;
