package org.foxtailplank.internal.log;

/**
 * Outcome of an append group.
 *
 * @param group the group
 * @param outcome final outcome
 */
public record GroupResult(AppendGroup group, AppendOutcome outcome) {}
