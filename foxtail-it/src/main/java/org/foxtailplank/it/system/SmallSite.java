package org.foxtailplank.it.system;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Text of the settings of a deployment with three availability zones and a node in each. */
final class SmallSite {

    static final List<String> ZONES = List.of("z1", "z2", "z3");

    private static final int PORTS_OF_NODE = 3;
    private static final int LOWEST_PORT = 15_000;
    private static final int HIGHEST_PORT = 32_000;

    private static final String BASE =
            """
            {
              "deployment": "it",
              "fleet": {"rolloutWeight": 0.5, "wakeTime": "1s", "drainTimeout": "5s",
                        "rebootTime": "1s", "moveCooldown": "1s"},
              "zones": {
                "z1": {"oneWayDelay": "1ms", "callerDelay": "1ms"},
                "z2": {"oneWayDelay": "1ms", "callerDelay": "1ms"},
                "z3": {"oneWayDelay": "1ms", "callerDelay": "1ms"}
              },
              "vmTypes": {"small": {"processors": 8, "memory": "16GiB"}},
              "racks": {
                "z1-r[1-2]": {"zone": "z1", "vms": 2, "type": "small"},
                "z2-r[1-2]": {"zone": "z2", "vms": 2, "type": "small"},
                "z3-r[1-2]": {"zone": "z3", "vms": 2, "type": "small"}
              },
              "services": {
                "claims": {"instances": 6, "minAvailable": 3, "slots": 8, "connections": 64,
                  "objective": 0.99, "deadline": "2s", "requestClass": "urgent",
                  "repeatable": false},
                "survey": {"instances": 6, "minAvailable": 3, "slots": 8, "connections": 64,
                  "objective": 0.99, "deadline": "2s", "requestClass": "interactive",
                  "repeatable": true}
              },
              "pools": {
                "claims": {"service": "claims", "vms": ["z[1-3]-r[1-2]-1"], "target": 5,
                  "reserve": 1},
                "survey": {"service": "survey", "vms": ["z[1-3]-r[1-2]-2"], "target": 5,
                  "reserve": 1}
              },
              "teams": {"ops": {"quota": 1.0, "role": "operator", "token": "it-token"}},
              "nodes": {%s},
              "platform": {"address": "http://127.0.0.1:1", "timeout": "500ms",
                "appendsPerSecond": 200, "retention": "1d"},
              "peers": {"key": "key-of-the-peers-in-tests", "heartbeat": "200ms", "silence": "1s"},
              "limits": {"maxHeader": "16KiB", "maxBody": "1MiB", "connectionsPerCaller": 256,
                "retryRatio": 0.2, "idempotencyWindow": "10m"}
            }
            """;

    private final Map<String, List<InetSocketAddress>> mPorts = new LinkedHashMap<>();

    SmallSite() throws IOException {
        for (String zone : ZONES) {
            mPorts.put(zone, freeAddresses());
        }
    }

    static String node(String zone) {
        return zone + "-e1";
    }

    InetSocketAddress callers(String zone) {
        return mPorts.get(zone).get(0);
    }

    InetSocketAddress peers(String zone) {
        return mPorts.get(zone).get(1);
    }

    InetSocketAddress admin(String zone) {
        return mPorts.get(zone).get(2);
    }

    /** The base file as it is published. */
    String base() {
        return base(Map.of());
    }

    /** The base file of one process, whose way to some peers leads elsewhere. */
    String base(Map<String, InetSocketAddress> peers) {
        List<String> nodes =
                ZONES.stream().map(z -> nodeText(z, peers.getOrDefault(z, peers(z)))).toList();
        return BASE.formatted(String.join(",\n", nodes));
    }

    private String nodeText(String zone, InetSocketAddress peers) {
        return """
        "%s": {"zone": "%s", "callers": "%s", "peers": "%s", "admin": "%s"}\
        """
                .formatted(node(zone), zone, text(callers(zone)), text(peers), text(admin(zone)));
    }

    /** What one zone states differently: its way to the platform. */
    static String overlay(String zone, InetSocketAddress platform) {
        return "{\"site\": \"%s\", \"platform\": {\"address\": \"http://%s\"}}"
                .formatted(zone, text(platform));
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Addresses that are free, below the ports that the system hands out by itself.
     *
     * <p>Guards against a proxy, a stand-in or an outgoing connection that gets the port of a
     * process which has not bound it yet: the settings then name one port twice, or the process
     * can't listen.
     */
    private static List<InetSocketAddress> freeAddresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        while (addresses.size() < PORTS_OF_NODE) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket(port)) {
                addresses.add(new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
            } catch (BindException ignored) {
                // Somebody has it; try another.
            }
        }
        return addresses;
    }
}
