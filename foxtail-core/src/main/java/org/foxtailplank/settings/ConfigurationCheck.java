package org.foxtailplank.settings;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetTopology;

/**
 * A base with all its overlays, checked as a whole before it is published.
 *
 * @param shape what the fold needs to know of it; empty where there are problems
 * @param problems all that is wrong
 */
public record ConfigurationCheck(Optional<FleetTopology> shape, List<SettingsProblem> problems) {
    /** Name of the base file in problems. */
    public static final String BASE = "base";

    public ConfigurationCheck {
        problems = List.copyOf(problems);
    }

    /** Checks the base alone and with the overlay of each site. */
    public static ConfigurationCheck of(String base, Map<ZoneId, String> overlays) {
        Set<SettingsProblem> problems = new LinkedHashSet<>();
        SettingsReader reader = SettingsReader.base(BASE, base);
        SettingsResult alone = reader.read();
        collect(alone, problems);
        for (Map.Entry<ZoneId, String> overlay : new TreeMap<>(overlays).entrySet()) {
            String file = "overlay " + overlay.getKey();
            SettingsReader site = reader.withOverlay(file, overlay.getValue());
            collect(site.read(), problems);
            site.site()
                    .filter(z -> !z.equals(overlay.getKey().value()))
                    .ifPresent(z -> problems.add(otherSite(file, z, overlay.getKey())));
        }
        return problems.isEmpty() && alone instanceof SettingsResult.Valid valid
                ? new ConfigurationCheck(Optional.of(FleetShapes.of(valid.settings())), List.of())
                : new ConfigurationCheck(Optional.empty(), new ArrayList<>(problems));
    }

    private static void collect(SettingsResult result, Set<SettingsProblem> problems) {
        if (result instanceof SettingsResult.Invalid invalid) {
            problems.addAll(invalid.problems());
        }
    }

    private static SettingsProblem otherSite(String file, String site, ZoneId zone) {
        return new SettingsProblem(
                file, 1, "site", "an overlay of zone \"" + site + "\"", "\"" + zone + "\"");
    }
}
