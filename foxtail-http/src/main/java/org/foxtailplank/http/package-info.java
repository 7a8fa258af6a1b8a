/**
 * A small HTTP/1.1 client and server on one Netty event loop.
 *
 * <p>The node uses it in place of Pekko HTTP, which takes too much processor time to start on VMs
 * with a fraction of a core. All methods must be called on the event loop's thread, on which all
 * callbacks run too.
 */
package org.foxtailplank.http;
