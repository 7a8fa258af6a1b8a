package org.foxtailplank.port;

/** A change that an operator has published. */
public sealed interface OperatorChange {

    /** A new version of the configuration. */
    record NewConfig(FleetConfig config) implements OperatorChange {}

    /** A new maintenance wave. */
    record NewWave(MaintenanceWave wave) implements OperatorChange {}
}
