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

/** Checks the base alone and merged with each overlay, using the settings parser of the nodes. */
public final class SettingsChecker implements ConfigurationChecker {
    private static final String BASE = "base";

    @Override
    public Result check(String base, Map<ZoneId, String> overlays) {
        SettingsReader reader = SettingsReader.base(BASE, base);
        SettingsResult baseResult = reader.read();
        if (baseResult instanceof SettingsResult.Invalid invalid) {
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
                ? Result.valid(FleetShapes.of(((SettingsResult.Valid) baseResult).settings()))
                : Result.invalid(errors);
    }

    private static List<String> describe(List<SettingsProblem> problems) {
        return problems.stream().map(SettingsProblem::toString).toList();
    }
}
