package org.foxtailplank.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.foxtailplank.id.ZoneId;
import org.testng.annotations.Test;

/** Reads settings of the size to design for; prints what that costs. */
public final class SettingsScaleTest {
    private static final int ZONES = 11;
    private static final int RACKS = 3_750;
    private static final int VMS_OF_RACK = 4;
    private static final int POOLS = 83;
    private static final int RUNS = 20;

    @Test
    void readsFifteenThousandWorkersInEightyThreePools() {
        for (int part : new int[] {4, 2, 1}) {
            String base = base(RACKS / part, Math.max(1, POOLS / part));
            List<Long> micros = new ArrayList<>();
            ConfigurationCheck check = null;
            for (int i = 0; i < RUNS; i++) {
                long start = System.nanoTime();
                check = ConfigurationCheck.of(base, Map.of(ZoneId.of("z1"), "{\"site\": \"z1\"}"));
                micros.add((System.nanoTime() - start) / 1_000);
            }
            assertEquals(check.problems(), List.of());
            int vms = check.shape().orElseThrow().vms().size();
            assertEquals(vms, RACKS / part * VMS_OF_RACK);
            assertTrue(base.length() < 64 << 10, "a base of " + base.length() + " bytes");
            micros.sort(null);
            System.out.printf(
                    "settings: %d VMs, %d pools: base %d bytes, checked with one overlay in"
                            + " %d us (median of %d)%n",
                    vms,
                    check.shape().orElseThrow().pools().size(),
                    base.length(),
                    micros.get(RUNS / 2),
                    RUNS);
        }
    }

    /** A mistake in the largest base is still named in a moment, and in few words. */
    @Test
    void aMistakeInALargeBaseIsNamedOnce() {
        String bad = base(RACKS, POOLS).replace("\"vms\": 4", "\"vms\": 3");
        SettingsResult result = SettingsReader.base("base", bad).read();
        assertTrue(result instanceof SettingsResult.Invalid, "the settings were accepted");
        List<SettingsProblem> problems = ((SettingsResult.Invalid) result).problems();
        assertEquals(problems.size(), POOLS, "one for each pool that names a VM too many");
        assertTrue(problems.get(0).found().length() < 100, problems.get(0).toString());
    }

    private static String base(int racks, int pools) {
        StringBuilder text = new StringBuilder("{\"deployment\": \"large\",\n");
        text.append("\"zones\": {\"z[1-").append(ZONES).append("]\": {}},\n");
        text.append("\"vmTypes\": {\"plain\": {\"processors\": 16, \"memory\": \"64GiB\"}},\n");
        text.append("\"racks\": {");
        List<String> parts = new ArrayList<>();
        for (int zone = 1; zone <= ZONES; zone++) {
            parts.add(
                    "\"z%d-r[1-%d]\": {\"zone\": \"z%d\", \"vms\": 4, \"type\": \"plain\"}"
                            .formatted(zone, racksOf(zone, racks), zone));
        }
        text.append(String.join(",\n", parts)).append("},\n\"services\": {");
        parts.clear();
        for (int p = 0; p < pools; p++) {
            parts.add(
                    ("\"s%d\": {\"instances\": 8, \"minAvailable\": 8,"
                                    + " \"slots\": 8, \"connections\": 64}")
                            .formatted(p));
        }
        text.append(String.join(",\n", parts)).append("},\n\"pools\": {");
        text.append(String.join(",\n", poolsOver(racks, pools))).append("},\n");
        text.append(
                """
                "nodes": {
                  "z[1-11]-e[1-3]": {
                    "zone": "z1",
                    "callers": "127.0.0.1:0",
                    "peers": "127.0.0.1:0",
                    "admin": "127.0.0.1:0"
                  }
                },
                "platform": {"address": "http://127.0.0.1:8600"},
                "peers": {"key": "0123456789abcdef"}}
                """);
        return text.toString();
    }

    private static int racksOf(int zone, int racks) {
        return racks / ZONES + (zone <= racks % ZONES ? 1 : 0);
    }

    /** Pools that take the racks one after the other, each some of them. */
    private static List<String> poolsOver(int racks, int pools) {
        List<List<String>> ranges = new ArrayList<>();
        for (int p = 0; p < pools; p++) {
            ranges.add(new ArrayList<>());
        }
        int before = 0;
        for (int zone = 1; zone <= ZONES; zone++) {
            int count = racksOf(zone, racks);
            for (int p = 0; p < pools; p++) {
                int first = Math.max(before, racks * p / pools);
                int last = Math.min(before + count, racks * (p + 1) / pools);
                if (first < last) {
                    ranges.get(p)
                            .add(
                                    "\"z%d-r[%d-%d]-[1-4]\""
                                            .formatted(zone, first - before + 1, last - before));
                }
            }
            before += count;
        }
        List<String> texts = new ArrayList<>();
        for (int p = 0; p < pools; p++) {
            texts.add(
                    "\"p%d\": {\"service\": \"s%d\", \"vms\": [%s], \"target\": 9}"
                            .formatted(p, p, String.join(", ", ranges.get(p))));
        }
        return texts;
    }
}
