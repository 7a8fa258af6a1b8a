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
 * What a controller works with.
 *
 * @param self this node
 * @param settings the settings that it starts with
 * @param log the agreed state
 * @param directory the platform's knowledge of VMs
 * @param actions actions on VMs
 * @param workers the workers
 * @param peers what is heard of the other nodes
 * @param metrics takes the controller's counters
 * @param burn service-level burn over all nodes, where this process follows it
 */
public record ControllerParts(
        NodeId self,
        Settings settings,
        FleetLog log,
        VmDirectory directory,
        VmActions actions,
        Workers workers,
        PeerView peers,
        MetricRegistry metrics,
        Optional<BurnLog> burn) {
    /** A controller that hears of no other node, so that only the log decides who acts. */
    public static ControllerParts of(
            NodeId self, Settings settings, FleetLog log, HttpPlatform platform) {
        return new ControllerParts(
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

    /** The same, hearing of other nodes by a link to them. */
    public ControllerParts withPeers(PeerLink link) {
        PeerView heard = new PeerLiveness(link, settings.peers().silence(), InstantSource.system());
        return new ControllerParts(
                self, settings, log, directory, actions, workers, heard, metrics, burn);
    }

    /** The same with counters taken by a registry. */
    public ControllerParts withMetrics(MetricRegistry registry) {
        return new ControllerParts(
                self, settings, log, directory, actions, workers, peers, registry, burn);
    }

    /** The same, answering for service-level burn. */
    public ControllerParts withBurn(BurnLog burnLog) {
        return new ControllerParts(
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
