package org.foxtailplank.state;

import static org.foxtailplank.state.FoldDriver.AUTHOR;
import static org.foxtailplank.state.FoldDriver.configuration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.state.MergePatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests whether a configuration is published whole or as a patch. */
public class PublicationTest {
    private static final ZoneId SITE = ZoneId.of("sofia-2");
    private static final String FILLER =
            "\"filler\":\"" + "x".repeat(Publication.MAX_FULL_LENGTH) + "\"";

    @DataProvider
    public static Object[][] pairs() {
        return new Object[][] {
            {"{\"a\":1}", "{\"a\":2,\"b\":{\"c\":[1,2]}}"},
            {"{\"a\":{\"b\":1,\"c\":2}}", "{\"a\":{\"c\":2}}"},
            {"{\"a\":{\"b\":1}}", "{\"a\":3}"},
            {"{\"a\":3}", "{\"a\":{\"b\":{\"c\":1}}}"},
            {"{\"a\":[{\"b\":1}]}", "{\"a\":[{\"b\":2},{}]}"},
            {"{\"a\":{}}", "{}"},
        };
    }

    @Test(dataProvider = "pairs")
    public void computesThePatchBetweenTwoObjects(String from, String to) {
        ObjectNode target = MergePatch.parse(to).orElseThrow();
        ObjectNode patch =
                MergePatch.diff(MergePatch.parse(from).orElseThrow(), target).orElseThrow();
        assertEquals(MergePatch.merge(MergePatch.parse(from).orElseThrow(), patch), target);
    }

    @Test
    public void publishesASmallChangeOfALargeConfigurationAsAPatch() {
        FoldDriver d = published("{" + FILLER + ",\"n\":1 /* first */ }");
        FleetTopology topology = FoldDriver.topology(4, 1);
        Publication p =
                new Publication("{" + FILLER + ",\"n\":2}", Map.of(SITE, "{}"), topology, AUTHOR);
        ConfigurationChange c = p.toChange(d.state(), version(d));
        assertTrue(c instanceof ConfigurationChanged, c.toString());
        assertEquals(((ConfigurationChanged) c).basePatch(), "{\"n\":2}");
        assertTrue(((ConfigurationChanged) c).topologyPatch().vms().isEmpty());
        d.writeApplied(c, configuration(version(d)));
        assertEquals(
                MergePatch.parse(d.state().configuration().orElseThrow().base()),
                MergePatch.parse(p.base()));
        assertEquals(d.state().minAvailable(ServiceId.of("claims")), 1);
    }

    @Test
    public void publishesWholeWhatAPatchCannotExpress() {
        FoldDriver d = published("{" + FILLER + "}");
        FleetTopology same = FoldDriver.topology(4, 2);
        assertWhole(d, "{" + FILLER + ",\"n\":null}", Map.of(SITE, "{}"), same);
        assertWhole(d, "{" + FILLER + "}", Map.of(), same);
        assertWhole(d, "{" + FILLER + "}", Map.of(SITE, "{}"), FoldDriver.topology(3, 2));
        assertWhole(d, "{\"n\":1}", Map.of(SITE, "{}"), same);
    }

    /** Guards against a patch for a version that this node has not folded yet. */
    @Test
    public void publishesWholeOnAnUnknownVersion() {
        FoldDriver d = published("{" + FILLER + "}");
        FleetTopology topology = FoldDriver.topology(4, 2);
        String base = "{" + FILLER + ",\"n\":1}";
        Publication p = new Publication(base, Map.of(SITE, "{}"), topology, AUTHOR);
        assertTrue(p.toChange(d.state(), version(d)) instanceof ConfigurationChanged);
        assertTrue(p.toChange(d.state(), version(d) + 1) instanceof ConfigurationPublished);
    }

    private static long version(FoldDriver d) {
        return d.state().version(ObjectKey.configuration());
    }

    private static void assertWhole(
            FoldDriver d, String base, Map<ZoneId, String> overlays, FleetTopology topology) {
        ConfigurationChange c =
                new Publication(base, overlays, topology, AUTHOR).toChange(d.state(), version(d));
        assertEquals(c, new ConfigurationPublished(base, overlays, topology, AUTHOR));
    }

    private static FoldDriver published(String base) {
        FoldDriver d = FoldDriver.serving(4, 2);
        d.writeApplied(
                new ConfigurationPublished(
                        base, Map.of(SITE, "{}"), FoldDriver.topology(4, 2), AUTHOR),
                configuration(d.state().version(ObjectKey.configuration())));
        return d;
    }
}
