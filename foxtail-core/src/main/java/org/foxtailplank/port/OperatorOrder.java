package org.foxtailplank.port;

/** What an operator has written. */
public sealed interface OperatorOrder {

    /** A configuration. */
    record NewConfig(FleetConfig config) implements OperatorOrder {}

    /** A maintenance wave. */
    record NewWave(WaveOrder wave) implements OperatorOrder {}
}
