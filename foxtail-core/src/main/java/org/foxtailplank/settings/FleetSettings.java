package org.foxtailplank.settings;

import java.time.Duration;

/**
 * Weights and times of fleet decisions.
 *
 * @param rolloutWeight 0 to 1: 0 saves buffer cost above all, 1 saves roll-out time above all
 * @param wakeTime time from waking a VM until it serves
 * @param drainTimeout longest wait for a drained VM to finish what is in flight
 * @param rebootTime expected time of a reboot
 * @param moveCooldown shortest time between two moves of one VM
 */
public record FleetSettings(
        double rolloutWeight,
        Duration wakeTime,
        Duration drainTimeout,
        Duration rebootTime,
        Duration moveCooldown) {}
