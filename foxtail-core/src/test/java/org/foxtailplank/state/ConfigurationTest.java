package org.foxtailplank.state;

import static org.foxtailplank.state.FoldDriver.AUTHOR;
import static org.foxtailplank.state.FoldDriver.assertRefused;
import static org.foxtailplank.state.FoldDriver.configuration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.testng.annotations.Test;

/** Tests folding of configuration changes. */
public class ConfigurationTest {
    private static final ZoneId SITE = ZoneId.of("sofia-2");
    private static final FleetTopology NOTHING = new FleetTopology(Map.of(), Map.of(), Map.of());

    /** Guards against a lost update by a publication that is based on an old version. */
    @Test
    public void voidsAPublicationBasedOnAnOldVersion() {
        FoldDriver d = FoldDriver.serving(4, 2);
        long from = version(d);
        d.writeApplied(change("{\"a\":1}"), configuration(from));
        long won = version(d);
        assertRefused(
                VoidReason.STALE_VERSION,
                d.write(d.record(change("{\"a\":2}"), configuration(from))));
        d.writeRefused(VoidReason.MALFORMED, change("{\"a\":2}"));
        assertEquals(version(d), won);
        assertEquals(d.state().configuration().orElseThrow().base(), "{\n  \"a\" : 1\n}");
    }

    @Test
    public void mergesPatchesAsRfc7396Says() {
        FoldDriver d = FoldDriver.serving(4, 2);
        patch(d, "{\"a\":{\"b\":1,\"c\":[1]},\"x\":1}");
        patch(d, "{\"a\":{\"b\":null,\"c\":[2]},\"x\":{\"y\":null,\"z\":2}}");
        patch(d, "{\"a\":{\"d\":3}}");
        String text = d.state().configuration().orElseThrow().base().replaceAll("\\s", "");
        assertEquals(text, "{\"a\":{\"c\":[2],\"d\":3},\"x\":{\"z\":2}}");
    }

    @Test
    public void patchesTheOverlayOfASite() {
        FoldDriver d = FoldDriver.serving(4, 2);
        Map<ZoneId, String> overlay = Map.of(SITE, "{\"a\":1}");
        d.writeApplied(
                new ConfigurationChanged("{}", overlay, NOTHING, AUTHOR),
                configuration(version(d)));
        String text = d.state().configuration().orElseThrow().overlays().get(SITE);
        assertEquals(text.replaceAll("\\s", ""), "{\"a\":1}");
    }

    @Test
    public void refusesAPatchThatIsNotAnObject() {
        FoldDriver d = FoldDriver.serving(4, 2);
        for (String bad : new String[] {"", "[1]", "{\"a\":", "{} {}"}) {
            LogRecord r = d.record(change(bad), configuration(version(d)));
            assertRefused(VoidReason.MALFORMED, d.write(r));
        }
    }

    @Test
    public void refusesToRemoveAVmThatServes() {
        FoldDriver d = FoldDriver.serving(4, 2);
        FleetTopology topology = FoldDriver.topology(4, 2);
        Map<VmId, VmLocation> fewer = new HashMap<>(topology.vms());
        fewer.remove(VmId.of("claims1"));
        ConfigurationPublished without =
                published(new FleetTopology(fewer, topology.pools(), topology.minAvailable()));
        LogRecord early = d.record(without, configuration(version(d)));
        assertRefused(VoidReason.WRONG_PHASE, d.write(early));
        d.writeApplied(d.intent("claims1", VmAction.SLEEP));
        d.writeApplied(d.outcome("claims1", ActionOutcome.DONE));
        d.writeApplied(without, configuration(version(d)));
        assertFalse(d.state().vm(VmId.of("claims1")).isPresent());
    }

    @Test
    public void refusesANewServiceForAPoolThatServes() {
        FoldDriver d = FoldDriver.serving(4, 2);
        FleetTopology topology = FoldDriver.topology(4, 2);
        Map<PoolId, PoolDefinition> pools = new HashMap<>(topology.pools());
        Optional<ServiceId> other = Optional.of(ServiceId.of("letters"));
        pools.put(PoolId.of("claims"), new PoolDefinition(other, 4, 0));
        LogRecord r =
                d.record(
                        published(
                                new FleetTopology(topology.vms(), pools, topology.minAvailable())),
                        configuration(version(d)));
        assertRefused(VoidReason.WRONG_PHASE, d.write(r));
    }

    @Test
    public void keepsATargetThatTheConfigurationDoesNotChange() {
        FoldDriver d = FoldDriver.serving(4, 2);
        PoolId pool = PoolId.of("claims");
        d.writeApplied(new PoolTargetChanged(pool, 3, 1, AUTHOR));
        d.writeApplied(published(FoldDriver.topology(4, 1)), configuration(version(d)));
        assertEquals(d.state().pool(pool).orElseThrow().target(), 3);
        assertEquals(d.state().minAvailable(ServiceId.of("claims")), 1);
        assertEquals(d.vm("claims1").phase(), VmPhase.SERVING);
    }

    private static void patch(FoldDriver d, String patch) {
        d.writeApplied(change(patch), configuration(version(d)));
    }

    private static ConfigurationPublished published(FleetTopology topology) {
        return new ConfigurationPublished("{}", Map.of(), topology, AUTHOR);
    }

    private static ConfigurationChanged change(String patch) {
        return new ConfigurationChanged(patch, Map.of(), NOTHING, AUTHOR);
    }

    private static long version(FoldDriver d) {
        return d.state().version(ObjectKey.configuration());
    }
}
