package org.foxtailplank.settings;

import java.time.Duration;

/**
 * An availability zone.
 *
 * @param oneWayDelay one way delay to the other availability zones
 * @param callerDelay one way delay to callers
 */
public record ZoneSettings(Duration oneWayDelay, Duration callerDelay) {}
