package org.foxtailplank.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.state.MergePatch;

/**
 * A configuration to publish.
 *
 * @param base base file
 * @param overlays overlay of each site
 * @param topology part of the configuration that the fold uses
 * @param author who publishes it, and why
 */
public record Publication(
        String base, Map<ZoneId, String> overlays, FleetTopology topology, ChangeAuthor author) {
    /**
     * Longest configuration that is always published whole, with its comments. Larger ones are
     * patched, which bounds the log traffic of frequent changes.
     */
    static final int MAX_FULL_LENGTH = 8 * 1024;

    /**
     * Returns the change that publishes this configuration: a merge patch if it is large and a
     * patch can express the change, else the whole configuration. A patch removes the comments from
     * the text in force.
     *
     * @param from version that the publication is based on; if another one is in force, a patch
     *     would mix the two, so the whole configuration is published
     */
    public ConfigurationChange toChange(FleetView view, long from) {
        return view.configuration()
                .filter(c -> c.version() == from && length() > MAX_FULL_LENGTH)
                .flatMap(c -> patch(view, c))
                .orElseGet(() -> new ConfigurationPublished(base, overlays, topology, author));
    }

    private int length() {
        return base.length() + overlays.values().stream().mapToInt(String::length).sum();
    }

    private Optional<ConfigurationChange> patch(FleetView view, Configuration current) {
        Optional<FleetTopology> topologyPatch = topologyPatch(view);
        Optional<String> basePatch = diff(current.base(), base);
        Map<ZoneId, String> overlayPatches = new HashMap<>();
        for (Map.Entry<ZoneId, String> e : overlays.entrySet()) {
            String old = current.overlays().getOrDefault(e.getKey(), "{}");
            Optional<String> p = diff(old, e.getValue());
            if (p.isEmpty()) {
                return Optional.empty();
            }
            overlayPatches.put(e.getKey(), p.get());
        }
        overlayPatches.values().removeIf("{}"::equals);
        boolean removed = !overlays.keySet().containsAll(current.overlays().keySet());
        if (removed || topologyPatch.isEmpty() || basePatch.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new ConfigurationChanged(
                        basePatch.get(), overlayPatches, topologyPatch.get(), author));
    }

    private static Optional<String> diff(String from, String to) {
        Optional<ObjectNode> old = MergePatch.parse(from);
        Optional<ObjectNode> next = MergePatch.parse(to);
        if (old.isEmpty() || next.isEmpty()) {
            return Optional.empty();
        }
        return MergePatch.diff(old.get(), next.get()).map(ObjectNode::toString);
    }

    /**
     * Returns new and changed entries; empty if an entry is removed, which a patch can't express.
     */
    private Optional<FleetTopology> topologyPatch(FleetView view) {
        boolean removed =
                view.vms().stream().anyMatch(v -> !topology.vms().containsKey(v.id()))
                        || view.pools().stream()
                                .anyMatch(p -> !topology.pools().containsKey(p.id()));
        if (removed) {
            return Optional.empty();
        }
        Map<VmId, VmLocation> vms = new HashMap<>(topology.vms());
        vms.entrySet()
                .removeIf(e -> view.vm(e.getKey()).filter(v -> hasLocation(v, e)).isPresent());
        Map<PoolId, PoolDefinition> pools = new HashMap<>(topology.pools());
        pools.entrySet()
                .removeIf(e -> view.pool(e.getKey()).filter(p -> hasDefinition(p, e)).isPresent());
        Map<ServiceId, Integer> min = new HashMap<>(topology.minAvailable());
        min.entrySet().removeIf(e -> view.minAvailable(e.getKey()) == e.getValue());
        return Optional.of(new FleetTopology(vms, pools, min));
    }

    private static boolean hasLocation(VmState vm, Map.Entry<VmId, VmLocation> e) {
        return vm.zone().equals(e.getValue().zone()) && vm.rack().equals(e.getValue().rack());
    }

    private static boolean hasDefinition(PoolState p, Map.Entry<PoolId, PoolDefinition> e) {
        return new PoolDefinition(p.service(), p.target(), p.reserve()).equals(e.getValue());
    }
}
