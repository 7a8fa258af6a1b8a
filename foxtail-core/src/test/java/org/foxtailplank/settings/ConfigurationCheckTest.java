package org.foxtailplank.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.foxtailplank.id.ZoneId;
import org.testng.annotations.Test;

/** Checks whole configurations before they are published. */
public final class ConfigurationCheckTest {
    private static final ZoneId A = ZoneId.of("a");
    private static final ZoneId B = ZoneId.of("b");

    @Test
    void theOverlayOfEachSiteIsChecked() {
        ConfigurationCheck good =
                ConfigurationCheck.of(
                        SettingsReaderTest.GOOD,
                        Map.of(A, "{\"site\": \"a\"}", B, "{\"site\": \"b\"}"));
        assertEquals(good.problems(), List.of());
        assertEquals(good.shape().orElseThrow().vms().size(), 4);
        ConfigurationCheck bad =
                ConfigurationCheck.of(
                        SettingsReaderTest.GOOD, Map.of(A, "{\"site\": \"b\"}", B, "{\"sit\": 1}"));
        assertTrue(bad.shape().isEmpty());
        assertEquals(files(bad), List.of("overlay a", "overlay b"));
    }

    private static List<String> files(ConfigurationCheck check) {
        return check.problems().stream().map(SettingsProblem::file).distinct().toList();
    }
}
