package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailplank.internal.membership.HeartbeatDigest;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.wire.generated.peer.HeartbeatProto;

/** Protobuf codec of heartbeats. */
final class Heartbeats {

    private Heartbeats() {}

    static HeartbeatProto encode(
            long sequence, NodeStatus status, List<HeartbeatDigest> digests, List<Integer> left) {
        HeartbeatProto.Builder proto =
                HeartbeatProto.newBuilder()
                        .setBeat(sequence)
                        .setConfigurationVersion(status.configurationVersion())
                        .setPosition(Positions.encode(status.position()))
                        .addAllLeftTag(left);
        status.load()
                .inFlight()
                .forEach(
                        (instance, count) ->
                                proto.addLoadInstance(instance).addLoadInFlight(count));
        ByteBuffer sequences = ByteBuffer.allocate(digests.size() * Short.BYTES);
        for (HeartbeatDigest digest : digests) {
            proto.addHeardTag(digest.tag());
            sequences.putShort(digest.sequence());
        }
        return proto.setHeardBeat(ByteString.copyFrom(sequences.flip())).build();
    }

    static NodeStatus status(HeartbeatProto proto) {
        int instances = Math.min(proto.getLoadInstanceCount(), proto.getLoadInFlightCount());
        Map<Integer, Integer> load = new HashMap<>();
        for (int i = 0; i < Math.min(instances, LoadSummary.MAX_INSTANCES); i++) {
            load.put(proto.getLoadInstance(i), Math.max(0, proto.getLoadInFlight(i)));
        }
        return new NodeStatus(
                proto.getConfigurationVersion(),
                Positions.decode(proto.getPosition()),
                new LoadSummary(load));
    }

    static List<HeartbeatDigest> digests(HeartbeatProto proto) {
        ByteBuffer sequences = proto.getHeardBeat().asReadOnlyByteBuffer();
        int count = Math.min(proto.getHeardTagCount(), sequences.remaining() / Short.BYTES);
        List<HeartbeatDigest> digests = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            digests.add(new HeartbeatDigest(proto.getHeardTag(i), sequences.getShort()));
        }
        return digests;
    }
}
