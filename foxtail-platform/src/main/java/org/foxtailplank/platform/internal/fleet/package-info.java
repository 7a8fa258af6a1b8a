/** Follows the stream of the fleet, folds it on one thread and writes to it. */
package org.foxtailplank.platform.internal.fleet;
