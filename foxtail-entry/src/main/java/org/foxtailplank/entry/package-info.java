/** Takes callers' requests and sends them to backend servers. */
package org.foxtailplank.entry;
