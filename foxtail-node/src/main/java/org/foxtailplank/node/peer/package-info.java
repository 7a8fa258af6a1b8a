/**
 * The owner hands the journal on to the other nodes as it reads it.
 *
 * <p>The journal on the platform stays what counts: the stream saves its readers calls, and shows
 * at once when the owner's process is gone.
 */
package org.foxtailplank.node.peer;
