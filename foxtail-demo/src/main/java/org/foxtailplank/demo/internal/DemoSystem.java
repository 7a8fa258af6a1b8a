package org.foxtailplank.demo.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.entry.FoxtailNode;
import org.foxtailplank.entry.NodeOptions;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;

/** The whole system in one process: platform and backend stand-ins, entries and a controller. */
public final class DemoSystem implements AutoCloseable {

    private static final int ENTRIES = 3;
    private static final Duration WAKE = Duration.ofMillis(300);
    private static final Duration REBOOT = Duration.ofMillis(300);
    private static final Duration REASSIGN = Duration.ofMillis(200);

    /** Longer than an entry's probes are apart, so that they see it before work is refused. */
    private static final Duration LEAVE = Duration.ofMillis(700);

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    private final PlatformStandin mPlatform;
    private final Settings mSettings;
    private final List<FoxtailNode> mEntries = new ArrayList<>();
    private FoxtailNode mController;

    private DemoSystem(PlatformStandin platform, Settings settings) {
        mPlatform = platform;
        mSettings = settings;
    }

    /** Starts everything on ports that the system gives. */
    public static DemoSystem start(PekkoRuntime runtime, Settings settings)
            throws ProcessException {
        PlatformStandin platform = platform(runtime, settings);
        DemoSystem demo = new DemoSystem(platform, embedded(settings, platform));
        try {
            demo.startNodes(runtime);
            return demo;
        } catch (ProcessException e) {
            demo.close();
            throw e;
        }
    }

    /** The platform stand-in. */
    public PlatformStandin platform() {
        return mPlatform;
    }

    /** The settings, with the addresses of this process. */
    public Settings settings() {
        return mSettings;
    }

    /** Addresses for callers, as {@code http://address:port}. */
    public List<String> entries() {
        return mEntries.stream().map(e -> "http:/" + e.callers().orElseThrow()).toList();
    }

    /** Every process of the system. */
    public List<FoxtailNode> nodes() {
        List<FoxtailNode> nodes = new ArrayList<>(mEntries);
        nodes.add(mController);
        return nodes;
    }

    /** Address of the administration API. */
    public InetSocketAddress admin() {
        return mController.admin();
    }

    @Override
    public void close() {
        mEntries.forEach(FoxtailNode::close);
        if (mController != null) {
            mController.close();
        }
        mPlatform.close();
    }

    private void startNodes(PekkoRuntime runtime) throws ProcessException {
        List<NodeId> nodes = oneOfEachZoneFirst();
        for (NodeId node : nodes.subList(0, ENTRIES)) {
            mEntries.add(start(runtime, node, NodeRole.ENTRY));
        }
        mController = start(runtime, nodes.get(ENTRIES), NodeRole.CONTROL);
        List<Seed> seeds = nodes().stream().map(FoxtailNode::seed).toList();
        nodes().forEach(n -> n.setSeeds(seeds));
    }

    private FoxtailNode start(PekkoRuntime runtime, NodeId node, NodeRole role)
            throws ProcessException {
        return FoxtailNode.start(runtime, new NodeOptions(node, mSettings, Set.of(role), true));
    }

    private List<NodeId> oneOfEachZoneFirst() {
        List<NodeId> first = new ArrayList<>();
        List<NodeId> others = new ArrayList<>();
        Set<ZoneId> zones = new HashSet<>();
        mSettings.nodes().keySet().stream()
                .sorted()
                .forEach(n -> (zones.add(zoneOf(n)) ? first : others).add(n));
        first.addAll(others);
        return first;
    }

    private ZoneId zoneOf(NodeId node) {
        return mSettings.nodes().get(node).zone();
    }

    private static PlatformStandin platform(PekkoRuntime runtime, Settings settings)
            throws ProcessException {
        try {
            return PlatformStandin.start(settings, platformOptions(), runtime.system());
        } catch (IOException e) {
            throw ProcessException.failed(
                    "The platform stand-in can't listen on this machine: " + e.getMessage() + ".",
                    e);
        }
    }

    private static PlatformOptions platformOptions() {
        return PlatformOptions.quick().withVmTimes(WAKE, REBOOT, REASSIGN, LEAVE);
    }

    private static Settings embedded(Settings s, PlatformStandin platform) {
        Map<NodeId, NodeSettings> nodes = new HashMap<>();
        s.nodes().forEach((id, n) -> nodes.put(id, new NodeSettings(n.zone(), ANY, ANY, ANY)));
        PlatformSettings p = s.platform();
        PlatformSettings here =
                new PlatformSettings(
                        platform.address(), p.timeout(), p.appendsPerSecond(), p.retention());
        return new Settings(
                s.deployment(),
                s.fleet(),
                s.zones(),
                s.racks(),
                s.vms(),
                s.services(),
                s.pools(),
                s.teams(),
                nodes,
                here,
                s.peers(),
                s.limits());
    }
}
