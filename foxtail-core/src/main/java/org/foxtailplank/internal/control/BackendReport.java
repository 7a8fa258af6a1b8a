package org.foxtailplank.internal.control;

/**
 * What a backend server itself says on its health answer.
 *
 * @param leaving whether it says that it is leaving
 * @param inFlight requests that it is running
 */
public record BackendReport(boolean leaving, int inFlight) {}
