package org.foxtailplank.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetTopology;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reads good settings, and names everything that is wrong with bad ones. */
public final class SettingsReaderTest {
    private static final Path EXAMPLES = Path.of("../examples");
    static final String GOOD =
            """
            {
              "deployment": "small",
              "zones": {"a": {"oneWayDelay": "500us"}, "b": {}},
              "vmTypes": {
                "plain": {"processors": 4, "memory": "1.5GiB"},
                "fast": {"like": "plain", "accelerators": 2},
              },
              "racks": {
                "a-r[1-2]": {"zone": "a", "vms": 1, "type": "plain"},
                "b-r1": {"zone": "b", "vms": 2, "type": "fast"} // two together
              },
              "services": {
                "quote": {"instances": 4, "minAvailable": 1, "slots": 8, "connections": 64}
              },
              "pools": {
                "quote": {
                  "service": "quote",
                  "vms": ["a-r[1-2]-1", "b-r1-[1-2]"],
                  "target": 3,
                  "reserve": 1
                }
              },
              "teams": {"t": {"quota": 0.5, "role": "operator", "token": "secret"}},
              "nodes": {
                "n": {
                  "zone": "a",
                  "callers": "127.0.0.1:0",
                  "peers": "127.0.0.1:0",
                  "admin": "127.0.0.1:7003"
                }
              },
              "platform": {"address": "http://127.0.0.1:8600"},
              "peers": {"key": "0123456789abcdef"}
            }
            """;

    @DataProvider
    Object[][] deployments() {
        return new Object[][] {
            {"stabilis", "sofia", 3, 35, 64, 256L << 30},
            {"laurentides", "quebec", 4, 40, 16, 64L << 30}
        };
    }

    @Test(dataProvider = "deployments")
    void examplesCarryTheSizesOfToday(
            String name, String city, int zones, int vms, int processors, long memory)
            throws IOException {
        Path dir = EXAMPLES.resolve(name);
        String base = Files.readString(dir.resolve("base.jsonc"));
        FleetTopology shape =
                FleetShapes.of(valid(SettingsReader.base("base.jsonc", base)).settings());
        for (int zone = 1; zone <= zones; zone++) {
            String file = city + "-" + zone + ".jsonc";
            String overlay = Files.readString(dir.resolve(file));
            Settings settings =
                    valid(SettingsReader.base("base.jsonc", base).withOverlay(file, overlay))
                            .settings();
            assertEquals(settings.zones().size(), zones);
            assertEquals(settings.vms().size(), vms);
            assertEquals(settings.services().size(), 5);
            assertEquals(instances(settings), vms);
            assertEquals(settings.nodes().size(), 9);
            assertTrue(settings.vms().values().stream().allMatch(v -> fits(v, processors, memory)));
            assertEquals(FleetShapes.of(settings), shape, "every site agrees on the fleet");
        }
    }

    private static int instances(Settings settings) {
        return settings.services().values().stream().mapToInt(ServiceSettings::instances).sum();
    }

    private static boolean fits(VmSettings vm, int processors, long memory) {
        return vm.processors() == processors && vm.memoryBytes() == memory;
    }

    @Test
    void readsUnitsTypesAndRanges() {
        Settings settings = valid(good()).settings();
        assertEquals(settings.zones().get(ZoneId.of("a")).oneWayDelay(), Duration.ofNanos(500_000));
        VmSettings vm = settings.vms().get(VmId.of("b-r1-2"));
        assertEquals(vm, new VmSettings(RackId.of("b-r1"), ZoneId.of("b"), 4, 3L << 29, 2));
        assertEquals(settings.pools().get(PoolId.of("quote")).vms().size(), 4);
        assertEquals(settings.nodes().values().iterator().next().admin().getPort(), 7003);
    }

    @Test
    void anOverlayChangesOnlyWhatItStates() {
        SettingsResult.Valid merged =
                valid(
                        good().withOverlay(
                                        "a.jsonc",
                                        "{\"site\": \"a\",\n"
                                                + "\"fleet\": {\"wakeTime\": \"2m\"},\n"
                                                + "\"services\": {\"quote\": {\"deadline\":"
                                                + " \"3s\"}}}"));
        ServiceSettings quote = merged.settings().services().get(ServiceId.of("quote"));
        assertEquals(quote.deadline(), Duration.ofSeconds(3));
        assertEquals(quote.slots(), 8);
        assertTrue(
                merged.origins()
                        .values()
                        .contains(
                                new SettingsOrigins.Value(
                                        "fleet.wakeTime", "\"2m\"", "a.jsonc:2")));
        assertTrue(
                merged.origins()
                        .values()
                        .contains(
                                new SettingsOrigins.Value(
                                        "services.quote.slots", "8", "base.jsonc:13")));
    }

    @Test
    void aValueThatNoFileStatesComesFromTheDefault() {
        List<SettingsOrigins.Value> values = valid(good()).origins().values();
        assertTrue(
                values.contains(new SettingsOrigins.Value("limits.maxBody", "\"4MiB\"", "default")),
                values.toString());
        assertTrue(
                values.contains(new SettingsOrigins.Value("fleet.wakeTime", "\"90s\"", "default")));
    }

    @Test
    void aNullInAnOverlayTakesTheDefaultBack() {
        String base =
                GOOD.replace("\"peers\": {", "\"fleet\": {\"wakeTime\": \"5s\"}, \"peers\": {");
        SettingsReader reader =
                SettingsReader.base("base.jsonc", base)
                        .withOverlay("a", "{\"site\": \"a\", \"fleet\": {\"wakeTime\": null}}");
        assertEquals(valid(reader).settings().fleet().wakeTime(), Duration.ofSeconds(90));
    }

    @DataProvider
    Object[][] badChanges() {
        return new Object[][] {
            {"\"slots\": 8", "\"slost\": 8", 13, "services.quote.slost", "\"slots\" (the nearest"},
            {"\"slots\": 8", "\"slots\": \"8\"", 13, "services.quote.slots", "a whole number"},
            {"\"slots\": 8", "\"slots\": 0", 13, "services.quote.slots", "from 1"},
            {"\"slots\": 8", "\"slots\": 8, \"slots\": 9", 13, "services.quote.slots", "once"},
            {"\"slots\": 8, ", "", 13, "services.quote.slots", "a whole number"},
            {"1.5GiB", "1.5", 5, "vmTypes.plain.memory", "a unit"},
            {"500us", "500", 3, "zones.a.oneWayDelay", "a unit"},
            {"\"zone\": \"b\"", "\"zone\": \"c\"", 10, "racks.b-r1.zone", "availability zone"},
            {"\"like\": \"plain\"", "\"like\": \"fast\"", 6, "vmTypes.fast.like", "that ends"},
            {"\"type\": \"plain\"", "\"type\": \"plian\"", 9, "racks.a-r[1-2].type", "\"plain\""},
            {"b-r1-[1-2]", "b-r1-[2-1]", 18, "pools.quote.vms[1]", "a range"},
            {"b-r1-[1-2]", "b-r1-[2-3]", 18, "pools.quote.vms", "VMs of the racks"},
            {"\"target\": 3", "\"target\": 4", 19, "pools.quote.target", "at most the 4"},
            {"\"minAvailable\": 1", "\"minAvailable\": 4", 13, "services.quote.minAvailable", "4"},
            {"\"minAvailable\": 1", "\"minAvailable\": 2", 13, "services.quote.minAvailable", "1"},
            {"127.0.0.1:7003", "localhost:7003", 29, "nodes.n.admin", "an IP number"},
            {"127.0.0.1:7003", "127.0.0.1:70030", 29, "nodes.n.admin", "an IP number"},
            {"http://127", "ftp://127", 32, "platform.address", "an http address"},
            {"0123456789abcdef", "short", 33, "peers.key", "at least 16"},
            {"\"teams\"", "\"site\": \"a\", \"teams\"", 23, "site", "without \"site\""},
            {"\"zones\": {", "\"zones\": [], \"zonse\": {", 3, "zones", "an object"},
        };
    }

    @Test(dataProvider = "badChanges")
    void namesFileLinePathAndWhatIsAllowed(
            String good, String bad, int line, String path, String allowed) {
        assertTrue(GOOD.contains(good));
        List<SettingsProblem> problems =
                invalid(SettingsReader.base("base.jsonc", GOOD.replace(good, bad)));
        assertTrue(
                problems.stream()
                        .anyMatch(
                                p ->
                                        p.file().equals("base.jsonc")
                                                && p.line() == line
                                                && p.path().equals(path)
                                                && p.allowed().contains(allowed)),
                problems.toString());
    }

    @Test
    void namesEveryProblemAtOnce() {
        String bad =
                GOOD.replace("\"slots\": 8", "\"slots\": -1")
                        .replace("\"type\": \"fast\"", "\"type\": 7")
                        .replace("\"role\": \"operator\"", "\"role\": \"king\"");
        List<String> paths =
                invalid(SettingsReader.base("base.jsonc", bad)).stream()
                        .map(SettingsProblem::path)
                        .toList();
        assertTrue(
                paths.containsAll(
                        List.of("services.quote.slots", "racks.b-r1.type", "teams.t.role")),
                paths.toString());
    }

    @DataProvider
    Object[][] unreadable() {
        return new Object[][] {
            {"", "an empty file"},
            {"// only a comment\n", "an empty file"},
            {"[1]", "a list"},
            {"{\"zones\": ", "text that is not JSON"},
            {"{} {}", "more text"},
            {"[".repeat(100_000), "text that is not JSON"},
        };
    }

    @Test(dataProvider = "unreadable")
    void aFileThatIsNotOneObjectIsSaidToBeSo(String text, String found) {
        List<SettingsProblem> problems = invalid(SettingsReader.base("base.jsonc", text));
        assertTrue(problems.get(0).found().contains(found), problems.toString());
    }

    @Test
    void anEmptyOverlayLosesNothingOfTheBasesProblems() {
        SettingsReader reader =
                SettingsReader.base("base.jsonc", GOOD.replace("\"slots\": 8", "\"slots\": 0"))
                        .withOverlay("a.jsonc", "");
        List<String> files = invalid(reader).stream().map(SettingsProblem::file).toList();
        assertEquals(files, List.of("a.jsonc", "base.jsonc"));
    }

    @Test
    void aVmInTwoPoolsNamesBothPools() {
        String bad =
                GOOD.replace(
                        "\"pools\": {",
                        "\"pools\": {\"spare\": {\"vms\": [\"a-r1-1\"], \"target\": 0},");
        List<SettingsProblem> problems = invalid(SettingsReader.base("base.jsonc", bad));
        assertEquals(problems.size(), 1);
        assertEquals(problems.get(0).path(), "pools.quote.vms");
        assertEquals(problems.get(0).found(), "VM a-r1-1, which pool \"spare\" holds already");
    }

    @Test
    void aVmInNoPoolIsAProblem() {
        String bad =
                GOOD.replace("[\"a-r[1-2]-1\", ", "[").replace("\"target\": 3", "\"target\": 1");
        List<SettingsProblem> problems = invalid(SettingsReader.base("base.jsonc", bad));
        assertTrue(
                problems.stream().anyMatch(p -> p.found().equals("VMs a-r1-1, a-r2-1 in no pool")),
                problems.toString());
    }

    @Test
    void aBudgetThatNoWaveCouldMeetIsSaidToBeSuch() {
        String bad = GOOD.replace("\"minAvailable\": 1", "\"minAvailable\": 2");
        SettingsProblem problem = invalid(SettingsReader.base("base.jsonc", bad)).get(0);
        assertTrue(problem.found().contains("no wave could ever meet"), problem.toString());
        assertTrue(problem.found().contains("the loss of rack b-r1 (2 of its VMs) leave 1"));
    }

    @DataProvider
    Object[][] badOverlays() {
        return new Object[][] {
            {"{}", "site", "the zone of this overlay"},
            {"{\"site\": \"pernik\"}", "site", "one of a, b"},
            {"{\"site\": \"a\", \"zones\": {\"b\": {}}}", "zones.b", "values of zone \"a\" only"},
            {"{\"site\": \"b\", \"nodes\": {\"n\": null}}", "nodes.n", "values of zone"},
            {"{\"site\": \"a\", \"pools\": {\"quote\": {\"target\": 1}}}", "pools", "base file"},
            {"{\"site\": \"a\", \"peers\": {\"key\": \"k\"}}", "peers.key", "base file"},
            {
                "{\"site\": \"a\", \"services\": {\"quote\": {\"minAvailable\": 0}}}",
                "services.quote.minAvailable",
                "base file"
            },
            {"{\"site\": \"a\", \"flet\": {}}", "flet", "\"fleet\" (the nearest"},
        };
    }

    @Test(dataProvider = "badOverlays")
    void anOverlayMayChangeOnlyWhatItsSiteDecides(String overlay, String path, String allowed) {
        List<SettingsProblem> problems = invalid(good().withOverlay("a.jsonc", overlay));
        assertTrue(
                problems.stream()
                        .anyMatch(
                                p ->
                                        p.file().equals("a.jsonc")
                                                && p.path().equals(path)
                                                && p.allowed().contains(allowed)),
                problems.toString());
    }

    private static SettingsReader good() {
        return SettingsReader.base("base.jsonc", GOOD);
    }

    private static SettingsResult.Valid valid(SettingsReader reader) {
        if (reader.read() instanceof SettingsResult.Invalid invalid) {
            fail(invalid.text());
        }
        return (SettingsResult.Valid) reader.read();
    }

    private static List<SettingsProblem> invalid(SettingsReader reader) {
        SettingsResult result = reader.read();
        assertTrue(result instanceof SettingsResult.Invalid, "the settings were accepted");
        return ((SettingsResult.Invalid) result).problems();
    }
}
