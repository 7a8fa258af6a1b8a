package org.foxtailplank.controller.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailplank.controller.ConfigurationChecker;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.settings.FleetShapes;
import org.foxtailplank.settings.SettingsProblem;
import org.foxtailplank.settings.SettingsReader;
import org.foxtailplank.settings.SettingsResult;

/** Checks the base, and the base under each overlay, as the nodes will read them. */
public final class SettingsChecker implements ConfigurationChecker {
    private static final String BASE = "base";

    @Override
    public Result check(String base, Map<ZoneId, String> overlays) {
        SettingsReader reader = SettingsReader.base(BASE, base);
        SettingsResult whole = reader.read();
        if (whole instanceof SettingsResult.Invalid invalid) {
            return Result.invalid(describe(invalid.problems()));
        }
        List<String> errors = new ArrayList<>();
        for (Map.Entry<ZoneId, String> overlay : new TreeMap<>(overlays).entrySet()) {
            String name = "overlay " + overlay.getKey();
            SettingsResult merged = reader.withOverlay(name, overlay.getValue()).read();
            if (merged instanceof SettingsResult.Invalid invalid) {
                errors.addAll(describe(invalid.problems()));
            }
        }
        return errors.isEmpty()
                ? Result.valid(FleetShapes.of(((SettingsResult.Valid) whole).settings()))
                : Result.invalid(errors);
    }

    private static List<String> describe(List<SettingsProblem> problems) {
        return problems.stream().map(SettingsProblem::toString).toList();
    }
}
