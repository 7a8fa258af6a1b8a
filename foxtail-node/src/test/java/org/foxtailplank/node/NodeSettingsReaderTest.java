package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.foxtailplank.node.NodeSettings.CallerLimits;
import org.foxtailplank.organisation.KeyLifetime;
import org.testng.annotations.Test;

public class NodeSettingsReaderTest {
    private static final String GOOD =
            "// a comment\n"
                + "{\"node\":{\"name\":\"n\",\"zone\":\"z\",\"graceS\":6},\"listen\":{"
                + "\"callers\":\"10.0.0.1:1\",\"readiness\":\"10.0.0.1:2\","
                + "\"metrics\":\"10.0.0.1:3\",\"peers\":\"10.0.0.1:4\"},\"platform\":{"
                + "\"store\":\"10.0.0.2:1\",\"vms\":\"10.0.0.3:1\",\"advice\":\"\","
                + "\"keepS\":300,\"parts\":8,\"vmTokensChecked\":false,\"new\":1},\"worker\":{"
                + "\"orders\":\"call\",\"leaseMs\":6000,\"stopMs\":200},\"jobs\":{\"statusS\":120,"
                + "\"earlyMs\":250}}";

    @Test
    public void settingsWithCommentsAndUnknownFieldsAreRead() throws SettingsException {
        NodeSettings settings = NodeSettingsReader.parse(GOOD);

        assertEquals(settings.name(), "n");
        assertEquals(settings.graceMs(), 6000);
        assertEquals(settings.schedule().leaseMs(), 6000);
        assertEquals(settings.schedule().stopMs(), 200);
        assertEquals(settings.journal().retentionMs(), 300_000);
        assertEquals(settings.peers().getPort(), 4);
        assertFalse(settings.vmTokensChecked());
    }

    @Test
    public void theLinkRateIsOptional() throws SettingsException {
        String known = GOOD.replace("\"graceS\":6", "\"graceS\":6,\"linkMbps\":7.5");

        assertEquals(NodeSettingsReader.parse(known).link(), new LinkRate(7.5));
        assertEquals(NodeSettingsReader.parse(GOOD).link(), LinkRate.UNKNOWN);
    }

    @Test
    public void theRevocationTimeOfKeysIsOptional() throws SettingsException {
        String strict =
                GOOD.replace("\"jobs\":{", "\"callers\":{\"keyRevocationMs\":5000},\"jobs\":{");

        assertEquals(NodeSettingsReader.parse(strict).keyLifetime().maxAgeMs(), 4500);
        assertEquals(NodeSettingsReader.parse(GOOD).keyLifetime(), KeyLifetime.UNLIMITED);
    }

    @Test
    public void limitsForCallersAreOptionalButChecked() throws SettingsException {
        String limits = "\"callers\":{\"connections\":9,\"bufferBytes\":500,\"requestMs\":70},";
        String limited = GOOD.replace("\"jobs\":{", limits + "\"jobs\":{");
        String bad =
                limited.replace("s\":9", "s\":0")
                        .replace("s\":500", "s\":-1")
                        .replace("s\":70", "s\":\"a\"");

        assertEquals(
                NodeSettingsReader.parse(limited).callerLimits(), new CallerLimits(9, 500, 70));
        assertEquals(NodeSettingsReader.parse(GOOD).callerLimits(), CallerLimits.DEFAULTS);
        SettingsException e =
                expectThrows(SettingsException.class, () -> NodeSettingsReader.parse(bad));
        assertTrue(e.getMessage().contains("/callers/connections"), e.getMessage());
        assertTrue(e.getMessage().contains("/callers/bufferBytes"), e.getMessage());
        assertTrue(e.getMessage().contains("/callers/requestMs"), e.getMessage());
    }

    @Test
    public void forecastsOfBurstsAreOffUnlessSet() throws SettingsException {
        String on = GOOD.replace("\"jobs\":{", "\"pools\":{\"forecastBursts\":true},\"jobs\":{");

        assertTrue(NodeSettingsReader.parse(on).forecastBursts());
        assertFalse(NodeSettingsReader.parse(GOOD).forecastBursts());
    }

    @Test
    public void forecastsOfBurstsMustBeTrueOrFalse() {
        // Guards against a value in quotes that would turn them off without a word.
        String bad =
                GOOD.replace("\"jobs\":{", "\"pools\":{\"forecastBursts\":\"true\"},\"jobs\":{");

        SettingsException e =
                expectThrows(SettingsException.class, () -> NodeSettingsReader.parse(bad));

        assertTrue(
                e.getMessage().contains("/pools/forecastBursts must be true or false"),
                e.getMessage());
    }

    @Test
    public void anUnsupportedOrderModeIsRejected() {
        // On a platform where workers fetch their orders, calls to workers would never be answered.
        String bad =
                GOOD.replace("\"orders\":\"call\"", "\"orders\":\"heartbeat\"")
                        .replace("\"vmTokensChecked\":false", "\"vmTokensChecked\":7");

        SettingsException e =
                expectThrows(SettingsException.class, () -> NodeSettingsReader.parse(bad));

        assertTrue(e.getMessage().contains("'heartbeat'"), e.getMessage());
        assertTrue(e.getMessage().contains("/platform/vmTokensChecked"), e.getMessage());
    }

    @Test
    public void allProblemsAreReportedAtOnce() {
        String bad =
                GOOD.replace("10.0.0.1:2", "nowhere")
                        .replace("\"leaseMs\":6000", "\"leaseMs\":\"long\"")
                        .replace("\"name\":\"n\",", "");

        SettingsException e =
                expectThrows(SettingsException.class, () -> NodeSettingsReader.parse(bad));

        assertTrue(e.getMessage().contains("/listen/readiness"), e.getMessage());
        assertTrue(e.getMessage().contains("/worker/leaseMs"), e.getMessage());
        assertTrue(e.getMessage().contains("/node/name"), e.getMessage());
    }

    @Test
    public void malformedPlatformAddressesAreReported() {
        // Guards against an index out of bounds while the node starts or takes ownership.
        String bad =
                GOOD.replace("\"store\":\"10.0.0.2:1\"", "\"store\":\"10.0.0.2\"")
                        .replace("\"advice\":\"\"", "\"advice\":\"there\"");

        SettingsException e =
                expectThrows(SettingsException.class, () -> NodeSettingsReader.parse(bad));

        assertTrue(e.getMessage().contains("/platform/store"), e.getMessage());
        assertTrue(e.getMessage().contains("/platform/advice"), e.getMessage());
    }
}
