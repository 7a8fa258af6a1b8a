/** Connections to backend servers, one request at a time on each. */
package org.foxtailplank.entry.internal.backend;
