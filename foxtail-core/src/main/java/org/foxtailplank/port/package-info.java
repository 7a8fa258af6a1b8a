/**
 * Ports: the interfaces through which the system uses the platform it runs on.
 *
 * <p>All calls are asynchronous and invoke their callback later on the calling thread. The
 * implementation applies a timeout, so that a callback runs even if the platform doesn't respond.
 */
package org.foxtailplank.port;
