package org.foxtailplank.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.controller.internal.SettingsChecker;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetShape;

/** Checks a configuration as a whole before it is published. */
@FunctionalInterface
public interface ConfigurationChecker {
    /** A checker that reads it as every node will. */
    static ConfigurationChecker standard() {
        return new SettingsChecker();
    }

    /** Checks a base file with its overlays, JSON with comments. */
    Result check(String base, Map<ZoneId, String> overlays);

    /**
     * What the check found.
     *
     * @param shape what the fold needs to know; empty where there are errors
     * @param errors every error, each in a line of its own
     */
    record Result(Optional<FleetShape> shape, List<String> errors) {
        /** Without an error. */
        public static Result valid(FleetShape shape) {
            return new Result(Optional.of(shape), List.of());
        }

        /** With errors. */
        public static Result invalid(List<String> errors) {
            return new Result(Optional.empty(), List.copyOf(errors));
        }
    }
}
