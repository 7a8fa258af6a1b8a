package org.foxtailplank.state;

/**
 * Quota of a team that was set through the log.
 *
 * @param quota share under contention
 * @param version offset of its last change
 */
public record TeamQuota(double quota, long version) {}
