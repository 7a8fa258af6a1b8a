package org.foxtailplank.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.controller.internal.SettingsChecker;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetTopology;

/** Validates a complete configuration before it is published. */
@FunctionalInterface
public interface ConfigurationChecker {
    /** Returns a checker that parses the configuration as nodes do. */
    static ConfigurationChecker standard() {
        return new SettingsChecker();
    }

    /** Checks a base document and its zone overlays, all JSON with comments. */
    Result check(String base, Map<ZoneId, String> overlays);

    /**
     * The result of a check.
     *
     * @param topology fleet topology that the state fold needs; empty if there are errors
     * @param errors all errors, one line each
     */
    record Result(Optional<FleetTopology> topology, List<String> errors) {
        /** Returns the result of a check without errors. */
        public static Result valid(FleetTopology topology) {
            return new Result(Optional.of(topology), List.of());
        }

        /** Returns the result of a check that found errors. */
        public static Result invalid(List<String> errors) {
            return new Result(Optional.empty(), List.copyOf(errors));
        }
    }
}
