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
 * A configuration that is to be published.
 *
 * @param base base file
 * @param overlays overlay of each site
 * @param shape what the fold needs to know of it
 * @param author who and why
 */
public record Publication(
        String base, Map<ZoneId, String> overlays, FleetShape shape, Author author) {
    /**
     * Length up to which a configuration is published as a whole, with its comments. At 7,800
     * changes a day each node then reads less than 1 KB a second of it.
     */
    static final int MAX_WHOLE = 8 * 1024;

    /**
     * The smallest change that leads to it: a merge patch for a large configuration of which a part
     * changes, else the whole. A patch leaves no comments in the text that is in force.
     *
     * @param from version that the publication is made on; a patch against any other version would
     *     mix the two, so then it is the whole
     */
    public ConfigurationChange on(FleetView view, long from) {
        return view.configuration()
                .filter(c -> c.version() == from && length() > MAX_WHOLE)
                .flatMap(c -> patch(view, c))
                .orElseGet(() -> new ConfigurationPublished(base, overlays, shape, author));
    }

    private int length() {
        return base.length() + overlays.values().stream().mapToInt(String::length).sum();
    }

    private Optional<ConfigurationChange> patch(FleetView view, Configuration current) {
        Optional<FleetShape> shapePatch = shapePatch(view);
        Optional<String> basePatch = between(current.base(), base);
        Map<ZoneId, String> overlayPatches = new HashMap<>();
        for (Map.Entry<ZoneId, String> e : overlays.entrySet()) {
            String old = current.overlays().getOrDefault(e.getKey(), "{}");
            Optional<String> p = between(old, e.getValue());
            if (p.isEmpty()) {
                return Optional.empty();
            }
            overlayPatches.put(e.getKey(), p.get());
        }
        overlayPatches.values().removeIf("{}"::equals);
        boolean removed = !overlays.keySet().containsAll(current.overlays().keySet());
        if (removed || shapePatch.isEmpty() || basePatch.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new ConfigurationChanged(
                        basePatch.get(), overlayPatches, shapePatch.get(), author));
    }

    private static Optional<String> between(String from, String to) {
        Optional<ObjectNode> old = MergePatch.parse(from);
        Optional<ObjectNode> next = MergePatch.parse(to);
        if (old.isEmpty() || next.isEmpty()) {
            return Optional.empty();
        }
        return MergePatch.between(old.get(), next.get()).map(ObjectNode::toString);
    }

    /** What is new or different; empty where something goes, which only a whole one can say. */
    private Optional<FleetShape> shapePatch(FleetView view) {
        boolean removed =
                view.vms().stream().anyMatch(v -> !shape.vms().containsKey(v.id()))
                        || view.pools().stream().anyMatch(p -> !shape.pools().containsKey(p.id()));
        if (removed) {
            return Optional.empty();
        }
        Map<VmId, VmPlace> vms = new HashMap<>(shape.vms());
        vms.entrySet().removeIf(e -> view.vm(e.getKey()).filter(v -> stands(v, e)).isPresent());
        Map<PoolId, PoolShape> pools = new HashMap<>(shape.pools());
        pools.entrySet().removeIf(e -> view.pool(e.getKey()).filter(p -> is(p, e)).isPresent());
        Map<ServiceId, Integer> min = new HashMap<>(shape.minAvailable());
        min.entrySet().removeIf(e -> view.minAvailable(e.getKey()) == e.getValue());
        return Optional.of(new FleetShape(vms, pools, min));
    }

    private static boolean stands(VmState vm, Map.Entry<VmId, VmPlace> e) {
        return vm.zone().equals(e.getValue().zone()) && vm.rack().equals(e.getValue().rack());
    }

    private static boolean is(PoolState p, Map.Entry<PoolId, PoolShape> e) {
        return new PoolShape(p.service(), p.target(), p.reserve()).equals(e.getValue());
    }
}
