/** Exchange of the newest state between nodes. */
package org.foxtailplank.wire.internal.exchange;
