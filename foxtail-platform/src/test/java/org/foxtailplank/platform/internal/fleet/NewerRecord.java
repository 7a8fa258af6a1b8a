package org.foxtailplank.platform.internal.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.state.StateRestored;
import org.foxtailplank.wire.RecordCodec;
import org.foxtailplank.wire.SnapshotCodec;
import org.foxtailplank.wire.StoredState;
import org.foxtailplank.wire.generated.records.ObjectProto;
import org.foxtailplank.wire.generated.records.RecordProto;

/** Entries that other nodes write. */
final class NewerRecord {
    private static final int NEWER_FIELD = 99;

    private NewerRecord() {}

    /** A record of a kind that this program does not know. */
    static LogEntry about(TeamId team) {
        UnknownFieldSet.Field change =
                UnknownFieldSet.Field.newBuilder().addLengthDelimited(ByteString.EMPTY).build();
        ObjectKey key = ObjectKey.of(team);
        RecordProto p =
                RecordProto.newBuilder()
                        .setId("newer")
                        .setWriter("node-9")
                        .addTouches(
                                ObjectProto.newBuilder()
                                        .setKind(key.kind().number())
                                        .setName(key.name()))
                        .setUnknownFields(
                                UnknownFieldSet.newBuilder().addField(NEWER_FIELD, change).build())
                        .build();
        return new LogEntry(RecordId.of("newer"), p.toByteArray());
    }

    /** Stores a state and appends its restoration. */
    static void restore(PlatformLog log, byte[] encoded) throws Exception {
        StoredState s = SnapshotCodec.decode(encoded);
        FleetNodes.get(new SnapshotStore(log).write("restored", s, 0));
        StatePosition p = s.position();
        RecordId id = RecordId.of("restored");
        LogRecord r =
                new LogRecord(
                        id,
                        NodeId.of("node-9"),
                        Optional.empty(),
                        Map.of(),
                        new StateRestored(
                                p.restorations(), p.nextOffset(), p.digest(), "restored"));
        FleetNodes.get(
                log.append(LogFollower.STREAM, List.of(new LogEntry(id, RecordCodec.encode(r)))));
    }
}
