/**
 * Decides which worker runs which task, and what VMs do; without I/O, for one owner at a time.
 *
 * <p>{@code Scheduler} is where to begin: it is told what happened and says what to do next.
 */
package org.foxtailplank.schedule;
