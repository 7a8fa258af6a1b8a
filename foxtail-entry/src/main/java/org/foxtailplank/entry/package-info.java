/** The entry role: accepts callers' requests and sends them to backend servers. */
package org.foxtailplank.entry;
