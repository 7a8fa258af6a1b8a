package org.foxtailplank.internal.control;

import java.time.Duration;
import org.foxtailplank.settings.FleetSettings;

/**
 * How long the steps of an action may wait.
 *
 * @param settle time for which a VM must have been leaving before it counts as drained; entries
 *     send nothing new after it
 * @param drainTimeout longest wait for work in flight
 * @param serveTimeout longest wait for the backend server after the platform is done
 */
public record VmWaits(Duration settle, Duration drainTimeout, Duration serveTimeout) {
    private static final Duration SETTLE = Duration.ofSeconds(2);
    private static final int REBOOTS_UNTIL_BROKEN = 3;

    /** The waits that a deployment's settings state. */
    public static VmWaits of(FleetSettings fleet) {
        Duration start =
                fleet.wakeTime().compareTo(fleet.rebootTime()) > 0
                        ? fleet.wakeTime()
                        : fleet.rebootTime();
        return new VmWaits(SETTLE, fleet.drainTimeout(), start.multipliedBy(REBOOTS_UNTIL_BROKEN));
    }
}
