package org.foxtailplank.internal.control;

import java.time.Duration;
import org.foxtailplank.settings.FleetSettings;

/**
 * Timeouts of the steps of an action.
 *
 * @param settleTime time after which entries send no new requests to a leaving VM; until then it
 *     does not count as drained
 * @param drainTimeout maximum wait for work in flight
 * @param serveTimeout maximum wait for the backend server to serve after the platform finished
 */
public record VmTimeouts(Duration settleTime, Duration drainTimeout, Duration serveTimeout) {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(2);
    private static final int SERVE_TIMEOUT_FACTOR = 3;

    /** Returns the timeouts from a deployment's settings. */
    public static VmTimeouts of(FleetSettings fleet) {
        Duration start =
                fleet.wakeTime().compareTo(fleet.rebootTime()) > 0
                        ? fleet.wakeTime()
                        : fleet.rebootTime();
        return new VmTimeouts(
                SETTLE_TIME, fleet.drainTimeout(), start.multipliedBy(SERVE_TIMEOUT_FACTOR));
    }
}
