package org.foxtailplank.standin;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.settings.LimitSettings;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.PeerSettings;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.settings.PoolSettings;
import org.foxtailplank.settings.RackSettings;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.TeamSettings;
import org.foxtailplank.settings.VmSettings;
import org.foxtailplank.settings.ZoneSettings;

/**
 * Settings of a small deployment for tests: zones {@code z1..}, racks {@code z1-r1..}, VMs {@code
 * z1-r1-vm1..}, the services {@code claims} and {@code quotes} with a pool each, and one node in
 * each zone.
 */
public final class SmallDeployment {

    private static final int RACKS = 2;
    private static final int VMS_IN_RACK = 2;
    private static final int PROCESSORS = 8;
    private static final long MEMORY_BYTES = 16L << 30;

    private SmallDeployment() {}

    /** Settings with so many availability zones, of four VMs each. */
    public static Settings settings(int zones, URI platform) {
        Map<ZoneId, ZoneSettings> zoneMap = new HashMap<>();
        Map<RackId, RackSettings> racks = new HashMap<>();
        Map<VmId, VmSettings> vms = new HashMap<>();
        Map<NodeId, NodeSettings> nodes = new HashMap<>();
        Set<VmId> claims = new HashSet<>();
        Set<VmId> quotes = new HashSet<>();
        for (int z = 1; z <= zones; z++) {
            ZoneId zone = ZoneId.of("z" + z);
            zoneMap.put(zone, new ZoneSettings(Duration.ofNanos(500_000), Duration.ofMillis(1)));
            nodes.put(NodeId.of("node" + z), node(zone));
            for (int r = 1; r <= RACKS; r++) {
                RackId rack = RackId.of(zone + "-r" + r);
                racks.put(rack, new RackSettings(zone));
                for (int v = 1; v <= VMS_IN_RACK; v++) {
                    VmId vm = VmId.of(rack + "-vm" + v);
                    vms.put(vm, new VmSettings(rack, zone, PROCESSORS, MEMORY_BYTES, 0));
                    (v == 1 ? claims : quotes).add(vm);
                }
            }
        }
        int size = claims.size();
        return new Settings(
                "small",
                new FleetSettings(
                        0.5,
                        Duration.ofMillis(300),
                        Duration.ofSeconds(10),
                        Duration.ofMillis(300),
                        Duration.ofSeconds(2)),
                zoneMap,
                racks,
                vms,
                Map.of(
                        ServiceId.of("claims"),
                        service(size),
                        ServiceId.of("quotes"),
                        service(size)),
                Map.of(
                        PoolId.of("claims"), pool("claims", claims),
                        PoolId.of("quotes"), pool("quotes", quotes)),
                Map.of(TeamId.of("survey"), new TeamSettings(0.5, Role.OPERATOR, "survey-token")),
                nodes,
                new PlatformSettings(platform, Duration.ofSeconds(1), 400, Duration.ofHours(1)),
                new PeerSettings("test-key", Duration.ofMillis(100), Duration.ofMillis(500)),
                new LimitSettings(8 << 10, 1 << 20, 64, 0.1, Duration.ofMinutes(10)));
    }

    private static PoolSettings pool(String service, Set<VmId> vms) {
        return new PoolSettings(Optional.of(ServiceId.of(service)), vms, vms.size() - 1, 1);
    }

    private static ServiceSettings service(int instances) {
        return new ServiceSettings(
                8,
                64,
                instances,
                Math.max(1, instances - 2),
                0.999,
                Duration.ofSeconds(2),
                RequestClass.INTERACTIVE,
                true);
    }

    private static NodeSettings node(ZoneId zone) {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        return new NodeSettings(zone, anyPort, anyPort, anyPort);
    }
}
