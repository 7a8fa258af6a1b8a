package org.foxtailplank.wire.internal.records;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.VmLocation;
import org.foxtailplank.wire.generated.records.PoolShapeProto;
import org.foxtailplank.wire.generated.records.ShapeProto;
import org.foxtailplank.wire.generated.records.VmPlaceProto;

/** Protobuf codec of fleet topologies. */
public final class FleetTopologyCodec {
    private FleetTopologyCodec() {}

    /** Encodes a fleet topology. */
    public static ShapeProto encode(FleetTopology topology) {
        ShapeProto.Builder b = ShapeProto.newBuilder();
        topology.vms().forEach((id, v) -> b.putVms(id.value(), location(v)));
        topology.pools().forEach((id, p) -> b.putPools(id.value(), encode(p)));
        topology.minAvailable().forEach((s, n) -> b.putMinAvailable(s.value(), n));
        return b.build();
    }

    /** Decodes a fleet topology; repeated ids share one instance. */
    public static FleetTopology decode(ShapeProto p) {
        Map<String, ZoneId> zones = new HashMap<>();
        Map<String, RackId> racks = new HashMap<>();
        Map<String, PoolId> poolIds = new HashMap<>();
        Map<VmId, VmLocation> vms = new HashMap<>();
        p.getVmsMap()
                .forEach(
                        (id, v) ->
                                vms.put(
                                        VmId.of(id),
                                        new VmLocation(
                                                zones.computeIfAbsent(v.getZone(), ZoneId::of),
                                                racks.computeIfAbsent(v.getRack(), RackId::of),
                                                poolIds.computeIfAbsent(v.getPool(), PoolId::of))));
        Map<PoolId, PoolDefinition> pools = new HashMap<>();
        p.getPoolsMap()
                .forEach((id, s) -> pools.put(poolIds.computeIfAbsent(id, PoolId::of), decode(s)));
        Map<ServiceId, Integer> min = new HashMap<>();
        p.getMinAvailableMap().forEach((s, n) -> min.put(ServiceId.of(s), n));
        return new FleetTopology(vms, pools, min);
    }

    /** Encodes the definition of a pool. */
    public static PoolShapeProto encode(PoolDefinition definition) {
        PoolShapeProto.Builder b =
                PoolShapeProto.newBuilder()
                        .setTarget(definition.target())
                        .setReserve(definition.reserve());
        definition.service().ifPresent(s -> b.setService(s.value()));
        return b.build();
    }

    /** Decodes the definition of a pool. */
    public static PoolDefinition decode(PoolShapeProto p) {
        Optional<ServiceId> service =
                p.hasService() ? Optional.of(ServiceId.of(p.getService())) : Optional.empty();
        return new PoolDefinition(service, p.getTarget(), p.getReserve());
    }

    private static VmPlaceProto location(VmLocation v) {
        return VmPlaceProto.newBuilder()
                .setZone(v.zone().value())
                .setRack(v.rack().value())
                .setPool(v.pool().value())
                .build();
    }
}
