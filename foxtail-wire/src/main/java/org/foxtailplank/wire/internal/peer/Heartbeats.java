package org.foxtailplank.wire.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailplank.internal.membership.HeardBeat;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.wire.generated.peer.HeartbeatProto;

/** Heartbeats as protobuf. */
final class Heartbeats {

    private Heartbeats() {}

    static HeartbeatProto encode(
            long beat, NodeStatus status, List<HeardBeat> news, List<Incarnation> left) {
        HeartbeatProto.Builder proto =
                HeartbeatProto.newBuilder()
                        .setBeat(beat)
                        .setConfigurationVersion(status.configurationVersion())
                        .setFoldOffset(status.nextOffset());
        status.load()
                .inFlight()
                .forEach(
                        (instance, count) ->
                                proto.addLoadInstance(instance).addLoadInFlight(count));
        for (HeardBeat heard : news) {
            proto.addHeardIncarnation(heard.incarnation().value()).addHeardBeat(heard.beat());
        }
        left.forEach(incarnation -> proto.addLeft(incarnation.value()));
        return proto.build();
    }

    static NodeStatus status(HeartbeatProto proto) {
        int instances = Math.min(proto.getLoadInstanceCount(), proto.getLoadInFlightCount());
        Map<Integer, Integer> load = new HashMap<>();
        for (int i = 0; i < Math.min(instances, LoadSummary.MAX_INSTANCES); i++) {
            load.put(proto.getLoadInstance(i), Math.max(0, proto.getLoadInFlight(i)));
        }
        return new NodeStatus(
                proto.getConfigurationVersion(), proto.getFoldOffset(), new LoadSummary(load));
    }

    static List<HeardBeat> news(HeartbeatProto proto) {
        int count = Math.min(proto.getHeardIncarnationCount(), proto.getHeardBeatCount());
        List<HeardBeat> news = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            if (proto.getHeardIncarnation(i) != 0) {
                Incarnation incarnation = new Incarnation(proto.getHeardIncarnation(i));
                news.add(new HeardBeat(incarnation, proto.getHeardBeat(i)));
            }
        }
        return news;
    }

    static List<Incarnation> left(HeartbeatProto proto) {
        return incarnations(proto.getLeftList());
    }

    static List<Incarnation> incarnations(List<Long> values) {
        return values.stream().filter(v -> v != 0).map(Incarnation::new).toList();
    }
}
