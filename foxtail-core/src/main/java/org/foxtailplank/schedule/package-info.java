/**
 * Assigns tasks to workers and plans moves and reboots of VMs. Performs no I/O and serves one owner
 * at a time.
 *
 * <p>{@code Scheduler} is the entry point: callers report events to it and ask for decisions.
 */
package org.foxtailplank.schedule;
