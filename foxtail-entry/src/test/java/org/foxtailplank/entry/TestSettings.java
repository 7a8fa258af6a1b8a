package org.foxtailplank.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.settings.LimitSettings;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.PeerSettings;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.TeamSettings;
import org.foxtailplank.settings.ZoneSettings;

/** Settings with one service and nine entries in three zones, on free loopback ports. */
final class TestSettings {

    static final NodeId NODE = NodeId.of("entry-1");
    static final String SERVICE = "claims";
    static final String NEAR = "zone-1";
    static final String FAR = "zone-2";

    private TestSettings() {}

    static Settings standard() {
        return with(new LimitSettings(8192, 64 << 10, 32, 0.2, Duration.ofHours(1)));
    }

    static Settings with(LimitSettings limits) {
        InetSocketAddress free = new InetSocketAddress("127.0.0.1", 0);
        Map<ZoneId, ZoneSettings> zones = new LinkedHashMap<>();
        Map<NodeId, NodeSettings> nodes = new LinkedHashMap<>();
        for (int i = 0; i < 9; i++) {
            ZoneId zone = ZoneId.of("zone-" + (i % 3 + 1));
            zones.put(zone, new ZoneSettings(Duration.ofNanos(500_000), Duration.ofMillis(1)));
            nodes.put(NodeId.of("entry-" + (i + 1)), new NodeSettings(zone, free, free, free));
        }
        ServiceSettings service =
                new ServiceSettings(
                        8, 64, 3, 2, 0.99, Duration.ofSeconds(20), RequestClass.INTERACTIVE, true);
        Duration s = Duration.ofSeconds(1);
        return new Settings(
                "test",
                new FleetSettings(0.5, s, s, s, s),
                zones,
                Map.of(),
                Map.of(),
                Map.of(ServiceId.of(SERVICE), service),
                Map.of(),
                Map.of(TeamId.of("desk"), new TeamSettings(0.5, Role.READER, "token")),
                nodes,
                new PlatformSettings(URI.create("http://127.0.0.1:1"), s, 300, s),
                new PeerSettings("key", s, s),
                limits);
    }
}
