package org.foxtailplank.settings;

import java.util.List;
import java.util.stream.Collectors;

/** What reading settings came to. */
public sealed interface SettingsResult {
    /**
     * The settings hold.
     *
     * @param settings the checked settings
     * @param origins where each value came from
     */
    record Valid(Settings settings, SettingsOrigins origins) implements SettingsResult {}

    /**
     * Something is wrong with them.
     *
     * @param problems all that is wrong, by file and line
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {
        public Invalid {
            problems = List.copyOf(problems);
        }

        /** One line for each problem. */
        public String text() {
            return problems.stream().map(Object::toString).collect(Collectors.joining("\n"));
        }
    }
}
