package org.foxtailplank.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Author;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.FleetShape;
import org.testng.annotations.Test;

/** Checks whole configurations and patches of them before they are published. */
public final class ConfigurationCheckTest {
    private static final ZoneId A = ZoneId.of("a");
    private static final ZoneId B = ZoneId.of("b");
    private static final Configuration NOW =
            new Configuration(
                    7,
                    SettingsReaderTest.GOOD,
                    Map.of(A, "{\"site\": \"a\", \"limits\": {\"maxBody\": \"1MiB\"}}"),
                    new Author("rada", "first"));

    @Test
    void theOverlayOfEachSiteIsChecked() {
        ConfigurationCheck good =
                ConfigurationCheck.of(
                        NOW.base(), Map.of(A, "{\"site\": \"a\"}", B, "{\"site\": \"b\"}"));
        assertEquals(good.problems(), List.of());
        assertEquals(good.shape().orElseThrow().vms().size(), 4);
        ConfigurationCheck bad =
                ConfigurationCheck.of(
                        NOW.base(), Map.of(A, "{\"site\": \"b\"}", B, "{\"sit\": 1}"));
        assertTrue(bad.shape().isEmpty());
        assertEquals(files(bad), List.of("overlay a", "overlay b"));
    }

    @Test
    void aPatchGivesOnlyWhatItChangesOfTheShape() {
        ConfigurationCheck check =
                ConfigurationCheck.ofPatch(
                        NOW, "{\"pools\": {\"quote\": {\"target\": 2}}}", Map.of());
        assertEquals(check.problems(), List.of());
        FleetShape shape = check.shape().orElseThrow();
        assertEquals(shape.pools().keySet(), Set.of(PoolId.of("quote")));
        assertEquals(shape.pools().get(PoolId.of("quote")).target(), 2);
        assertTrue(shape.vms().isEmpty() && shape.minAvailable().isEmpty());
    }

    @Test
    void aPatchOfAnOverlayThatIsNewMustNameItsSite() {
        Map<ZoneId, String> patch = Map.of(B, "{\"fleet\": {\"wakeTime\": \"1m\"}}");
        ConfigurationCheck check = ConfigurationCheck.ofPatch(NOW, "{}", patch);
        assertEquals(check.problems().get(0).path(), "site", check.problems().toString());
        patch = Map.of(B, "{\"site\": \"b\", \"fleet\": {\"wakeTime\": \"1m\"}}");
        assertEquals(ConfigurationCheck.ofPatch(NOW, "{}", patch).problems(), List.of());
    }

    /** An operator's patch is wrong: what is named is the patch's line, and not the base's. */
    @Test
    void aWrongPatchIsNamedAsSuch() {
        ConfigurationCheck check =
                ConfigurationCheck.ofPatch(
                        NOW,
                        "{\"pools\": {\"quote\": {\n\"target\": 5}}}",
                        Map.of(A, "{\"limits\": {\"maxBody\": 5}}"));
        assertEquals(files(check), List.of("patch of the base", "patch of the overlay a"));
        assertEquals(check.problems().get(0).line(), 2);
        assertEquals(check.problems().get(0).path(), "pools.quote.target");
    }

    /**
     * The fold can't take a VM away by a patch; were it let through, the VM would stay for ever.
     */
    @Test
    void aPatchCanRemoveNothingFromTheFleet() {
        String patch =
                "{\"racks\": {\"b-r1\": {\"vms\": 1}}, \"pools\": {\"quote\": {\"target\": 2,"
                        + " \"vms\": [\"a-r[1-2]-1\", \"b-r1-1\"]}},"
                        + " \"services\": {\"quote\": {\"instances\": 3}}}";
        ConfigurationCheck check = ConfigurationCheck.ofPatch(NOW, patch, Map.of());
        assertTrue(check.shape().isEmpty());
        assertTrue(check.problems().get(0).found().contains("removes"), check.toString());
    }

    private static List<String> files(ConfigurationCheck check) {
        return check.problems().stream().map(SettingsProblem::file).distinct().toList();
    }
}
