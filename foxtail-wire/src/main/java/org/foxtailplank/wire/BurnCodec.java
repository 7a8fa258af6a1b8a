package org.foxtailplank.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Instant;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.slo.IntervalReport;
import org.foxtailplank.slo.ServiceCounts;
import org.foxtailplank.slo.Spend;
import org.foxtailplank.wire.generated.burn.IntervalProto;
import org.foxtailplank.wire.generated.burn.ServiceProto;

/** Encodes and decodes interval reports, the records of the {@code burn} stream. */
public final class BurnCodec {

    private BurnCodec() {}

    /** Encodes a report. */
    public static byte[] encode(IntervalReport report) {
        IntervalProto.Builder proto =
                IntervalProto.newBuilder()
                        .setNode(report.node().value())
                        .setIncarnation(report.incarnation())
                        .setSequence(report.sequence())
                        .setEndMs(report.end().toEpochMilli());
        report.services().forEach((service, counts) -> proto.addServices(encode(service, counts)));
        return proto.build().toByteArray();
    }

    /** Decodes a report; empty if the bytes are malformed. */
    public static Optional<IntervalReport> decode(byte[] data) {
        try {
            IntervalProto proto = IntervalProto.parseFrom(data);
            Map<ServiceId, ServiceCounts> services = new HashMap<>();
            for (ServiceProto service : proto.getServicesList()) {
                services.put(ServiceId.of(service.getService()), decode(service));
            }
            return Optional.of(
                    new IntervalReport(
                            NodeId.of(proto.getNode()),
                            proto.getIncarnation(),
                            proto.getSequence(),
                            Instant.ofEpochMilli(proto.getEndMs()),
                            services));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static ServiceProto encode(ServiceId service, ServiceCounts counts) {
        return ServiceProto.newBuilder()
                .setService(service.value())
                .setNone(counts.of(Spend.NONE))
                .setLate(counts.of(Spend.LATE))
                .setRefused(counts.of(Spend.REFUSED))
                .setFailed(counts.of(Spend.FAILED))
                .setWave(counts.of(Spend.WAVE))
                .build();
    }

    private static ServiceCounts decode(ServiceProto service) {
        Map<Spend, Long> counts = new EnumMap<>(Spend.class);
        counts.put(Spend.NONE, service.getNone());
        counts.put(Spend.LATE, service.getLate());
        counts.put(Spend.REFUSED, service.getRefused());
        counts.put(Spend.FAILED, service.getFailed());
        counts.put(Spend.WAVE, service.getWave());
        counts.values().removeIf(n -> n == 0);
        return new ServiceCounts(counts);
    }
}
