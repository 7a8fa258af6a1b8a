package org.foxtailplank.settings;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.FleetShape;

/**
 * A base with all its overlays, checked as a whole before it is published.
 *
 * @param shape what the fold needs to know of it, or of what a patch changes; empty where there are
 *     problems
 * @param problems all that is wrong
 */
public record ConfigurationCheck(Optional<FleetShape> shape, List<SettingsProblem> problems) {
    /** Name of the base file in problems. */
    public static final String BASE = "base";

    private static final String EMPTY_OVERLAY = "{}";

    public ConfigurationCheck {
        problems = List.copyOf(problems);
    }

    /** Checks the base alone and with the overlay of each site. */
    public static ConfigurationCheck of(String base, Map<ZoneId, String> overlays) {
        return of(SettingsReader.base(BASE, base), overlays, Map.of());
    }

    /**
     * Checks what becomes of a configuration with merge patches of its base and of overlays.
     *
     * @return the shape of what is new or different
     */
    public static ConfigurationCheck ofPatch(
            Configuration now, String basePatch, Map<ZoneId, String> overlayPatches) {
        SettingsReader reader =
                SettingsReader.base(BASE, now.base()).withPatch("patch of the base", basePatch);
        ConfigurationCheck whole = of(reader, now.overlays(), overlayPatches);
        ConfigurationCheck before = of(now.base(), Map.of());
        if (whole.shape().isEmpty() || before.shape().isEmpty()) {
            return whole;
        }
        Optional<FleetShape> difference =
                FleetShapes.difference(before.shape().get(), whole.shape().get());
        return difference.isPresent()
                ? new ConfigurationCheck(difference, List.of())
                : new ConfigurationCheck(Optional.empty(), List.of(removal()));
    }

    private static ConfigurationCheck of(
            SettingsReader reader, Map<ZoneId, String> overlays, Map<ZoneId, String> patches) {
        Set<SettingsProblem> problems = new LinkedHashSet<>();
        SettingsResult alone = reader.read();
        collect(alone, problems);
        Set<ZoneId> sites = new TreeSet<>(overlays.keySet());
        sites.addAll(patches.keySet());
        for (ZoneId zone : sites) {
            String file = "overlay " + zone;
            SettingsReader site =
                    reader.withOverlay(file, overlays.getOrDefault(zone, EMPTY_OVERLAY));
            if (patches.containsKey(zone)) {
                site = site.withPatch("patch of the " + file, patches.get(zone));
            }
            collect(site.read(), problems);
            site.site()
                    .filter(z -> !z.equals(zone.value()))
                    .ifPresent(z -> problems.add(otherSite(file, z, zone)));
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

    private static SettingsProblem removal() {
        return new SettingsProblem(
                "patch of the base",
                1,
                "",
                "a patch that removes VMs, pools or services",
                "a whole configuration for that");
    }
}
