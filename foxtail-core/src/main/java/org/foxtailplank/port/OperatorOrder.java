package org.foxtailplank.port;

/** A change that an operator has published. */
public sealed interface OperatorOrder {

    /** A new version of the configuration. */
    record NewConfig(FleetConfig config) implements OperatorOrder {}

    /** A new maintenance wave. */
    record NewWave(WaveOrder wave) implements OperatorOrder {}
}
