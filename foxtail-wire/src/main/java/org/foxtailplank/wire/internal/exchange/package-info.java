/** Hands the newest state from node to node. */
package org.foxtailplank.wire.internal.exchange;
