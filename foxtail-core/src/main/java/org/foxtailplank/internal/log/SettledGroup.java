package org.foxtailplank.internal.log;

/**
 * A group of which it is known what became of it.
 *
 * @param group the group
 * @param outcome what became of it
 */
public record SettledGroup(AppendGroup group, AppendOutcome outcome) {}
