package org.foxtailplank.load.internal.profile;

/**
 * One request of a run.
 *
 * @param number number within the run, from 1
 * @param atNanos intended send time from the start of the step
 * @param traffic its kind
 * @param id id sent along, unique over all runs
 */
public record PlannedRequest(long number, long atNanos, Traffic traffic, String id) {}
