package org.foxtailplank.wire.internal.records;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetShape;
import org.foxtailplank.state.PoolShape;
import org.foxtailplank.state.VmPlace;
import org.foxtailplank.wire.generated.records.PoolShapeProto;
import org.foxtailplank.wire.generated.records.ShapeProto;
import org.foxtailplank.wire.generated.records.VmPlaceProto;

/** Protobuf codec of fleet shapes. */
public final class ShapeCodec {
    private ShapeCodec() {}

    /** Encodes a fleet shape. */
    public static ShapeProto encode(FleetShape shape) {
        ShapeProto.Builder b = ShapeProto.newBuilder();
        shape.vms().forEach((id, v) -> b.putVms(id.value(), place(v)));
        shape.pools().forEach((id, p) -> b.putPools(id.value(), encode(p)));
        shape.minAvailable().forEach((s, n) -> b.putMinAvailable(s.value(), n));
        return b.build();
    }

    /** Decodes a fleet shape; repeated ids share one instance. */
    public static FleetShape decode(ShapeProto p) {
        Map<String, ZoneId> zones = new HashMap<>();
        Map<String, RackId> racks = new HashMap<>();
        Map<String, PoolId> poolIds = new HashMap<>();
        Map<VmId, VmPlace> vms = new HashMap<>();
        p.getVmsMap()
                .forEach(
                        (id, v) ->
                                vms.put(
                                        VmId.of(id),
                                        new VmPlace(
                                                zones.computeIfAbsent(v.getZone(), ZoneId::of),
                                                racks.computeIfAbsent(v.getRack(), RackId::of),
                                                poolIds.computeIfAbsent(v.getPool(), PoolId::of))));
        Map<PoolId, PoolShape> pools = new HashMap<>();
        p.getPoolsMap()
                .forEach((id, s) -> pools.put(poolIds.computeIfAbsent(id, PoolId::of), decode(s)));
        Map<ServiceId, Integer> min = new HashMap<>();
        p.getMinAvailableMap().forEach((s, n) -> min.put(ServiceId.of(s), n));
        return new FleetShape(vms, pools, min);
    }

    /** Encodes the configured shape of a pool. */
    public static PoolShapeProto encode(PoolShape shape) {
        PoolShapeProto.Builder b =
                PoolShapeProto.newBuilder().setTarget(shape.target()).setReserve(shape.reserve());
        shape.service().ifPresent(s -> b.setService(s.value()));
        return b.build();
    }

    /** Decodes the configured shape of a pool. */
    public static PoolShape decode(PoolShapeProto p) {
        Optional<ServiceId> service =
                p.hasService() ? Optional.of(ServiceId.of(p.getService())) : Optional.empty();
        return new PoolShape(service, p.getTarget(), p.getReserve());
    }

    private static VmPlaceProto place(VmPlace v) {
        return VmPlaceProto.newBuilder()
                .setZone(v.zone().value())
                .setRack(v.rack().value())
                .setPool(v.pool().value())
                .build();
    }
}
