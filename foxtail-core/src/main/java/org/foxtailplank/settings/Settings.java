package org.foxtailplank.settings;

import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;

/**
 * The checked settings of one deployment, as seen from one site.
 *
 * <p>Every reference in it names something that exists, and each VM stands in exactly one pool.
 *
 * @param deployment name of the deployment, for example {@code stabilis}
 * @param fleet weights and times of fleet decisions
 * @param zones availability zones by name
 * @param racks racks by name
 * @param vms VMs by name
 * @param services services by name
 * @param pools pools by name
 * @param teams teams by name
 * @param nodes the system's own processes by name
 * @param platform where the platform answers
 * @param peers how the system's processes talk to each other
 * @param limits limits of the data path
 */
public record Settings(
        String deployment,
        FleetSettings fleet,
        Map<ZoneId, ZoneSettings> zones,
        Map<RackId, RackSettings> racks,
        Map<VmId, VmSettings> vms,
        Map<ServiceId, ServiceSettings> services,
        Map<PoolId, PoolSettings> pools,
        Map<TeamId, TeamSettings> teams,
        Map<NodeId, NodeSettings> nodes,
        PlatformSettings platform,
        PeerSettings peers,
        LimitSettings limits) {

    public Settings {
        zones = Map.copyOf(zones);
        racks = Map.copyOf(racks);
        vms = Map.copyOf(vms);
        services = Map.copyOf(services);
        pools = Map.copyOf(pools);
        teams = Map.copyOf(teams);
        nodes = Map.copyOf(nodes);
    }

    /** The pool that a VM starts in, when the log says nothing else. */
    public Optional<PoolId> firstPoolOf(VmId vm) {
        return pools.entrySet().stream()
                .filter(e -> e.getValue().vms().contains(vm))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** The same with addresses of nodes, platform and peers taken from other settings. */
    public Settings withProcessPartsOf(Settings other) {
        return new Settings(
                deployment,
                fleet,
                zones,
                racks,
                vms,
                services,
                pools,
                teams,
                other.nodes,
                other.platform,
                other.peers,
                limits);
    }
}
