package org.foxtailplank.controller;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.Optional;
import org.foxtailplank.controller.internal.PeerLiveness;
import org.foxtailplank.controller.internal.PeerView;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.platform.VmActions;
import org.foxtailplank.platform.VmDirectory;
import org.foxtailplank.platform.Workers;
import org.foxtailplank.platform.burn.BurnLog;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.wire.PeerLink;

/**
 * The dependencies of a controller.
 *
 * @param self this node
 * @param settings settings at startup
 * @param log log of the fleet state
 * @param directory the platform's VM directory
 * @param actions client for actions on VMs
 * @param workers client for the workers
 * @param peers liveness and status of the other nodes
 * @param metrics registry for the controller's counters
 * @param burn error-budget burn of all nodes, if this process follows it
 */
public record ControllerContext(
        NodeId self,
        Settings settings,
        FleetLog log,
        VmDirectory directory,
        VmActions actions,
        Workers workers,
        PeerView peers,
        MetricRegistry metrics,
        Optional<BurnLog> burn) {
    /** Returns the context of a controller without peers, so that only the log decides who acts. */
    public static ControllerContext of(
            NodeId self, Settings settings, FleetLog log, HttpPlatform platform) {
        return new ControllerContext(
                self,
                settings,
                log,
                platform.vms(),
                platform.vmActions(),
                platform.workers(),
                PeerView.none(),
                new MetricRegistry(),
                Optional.empty());
    }

    /** Returns a copy that tracks the liveness of other nodes over a peer link. */
    public ControllerContext withPeers(PeerLink link) {
        PeerView liveness =
                new PeerLiveness(link, settings.peers().silence(), InstantSource.system());
        return new ControllerContext(
                self, settings, log, directory, actions, workers, liveness, metrics, burn);
    }

    /** Returns a copy that registers counters in the given registry. */
    public ControllerContext withMetrics(MetricRegistry registry) {
        return new ControllerContext(
                self, settings, log, directory, actions, workers, peers, registry, burn);
    }

    /** Returns a copy that serves error-budget burn. */
    public ControllerContext withBurn(BurnLog burnLog) {
        return new ControllerContext(
                self,
                settings,
                log,
                directory,
                actions,
                workers,
                peers,
                metrics,
                Optional.of(burnLog));
    }
}
