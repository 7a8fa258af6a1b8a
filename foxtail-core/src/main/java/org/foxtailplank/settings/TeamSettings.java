package org.foxtailplank.settings;

/**
 * A team that shares the platform.
 *
 * @param quota share of the slots and processors that the team may take under contention, above 0
 *     and at most 1
 * @param role what the administration API lets it do
 * @param token token it presents to the administration API
 */
public record TeamSettings(double quota, Role role, String token) {}
