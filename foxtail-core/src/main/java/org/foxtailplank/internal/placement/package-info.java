/** Placement of tasks on workers. */
package org.foxtailplank.internal.placement;
