package org.foxtailplank.internal.control;

/**
 * A backend server's own health report.
 *
 * @param leaving whether it is leaving
 * @param inFlight number of requests in flight
 */
public record BackendReport(boolean leaving, int inFlight) {}
