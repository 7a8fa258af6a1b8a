/**
 * A small HTTP/1.1 client and server on one Netty event loop.
 *
 * <p>Pekko HTTP stays the library of the programs that run on roomy VMs. On VMs with a fraction of
 * a core its start alone takes about a second of processor time, so that the node uses its nearest
 * kin. Everything here is called from, and answers on, the event loop's one thread.
 */
package org.foxtailplank.http;
