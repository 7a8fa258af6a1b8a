package org.foxtailplank.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.Basis;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.ObjectKind;
import org.foxtailplank.state.UnknownChange;
import org.foxtailplank.wire.generated.records.EpochProto;
import org.foxtailplank.wire.generated.records.ExpectationProto;
import org.foxtailplank.wire.generated.records.ObjectProto;
import org.foxtailplank.wire.generated.records.RecordProto;
import org.foxtailplank.wire.internal.records.ChangeDecoder;
import org.foxtailplank.wire.internal.records.ChangeEncoder;

/** Encodes and decodes records of the log. */
public final class RecordCodec {
    /** Highest format version that this program can read. */
    static final int READER_VERSION = 1;

    private RecordCodec() {}

    /** Encodes a record of a known kind. */
    public static byte[] encode(LogRecord record) {
        RecordProto.Builder b =
                RecordProto.newBuilder()
                        .setId(record.id().value())
                        .setWriter(record.writer().value())
                        .setReaderVersion(READER_VERSION)
                        .setBasis(record.basis().offset())
                        .setBasisDigest(record.basis().digest());
        record.epoch()
                .ifPresent(
                        e ->
                                b.setEpoch(
                                        EpochProto.newBuilder()
                                                .setShard(e.shard().value())
                                                .setNumber(e.number())));
        record.expects().entrySet().stream()
                .sorted(Map.Entry.comparingByKey(ObjectKey.ORDER))
                .forEach(
                        e ->
                                b.addExpects(
                                        ExpectationProto.newBuilder()
                                                .setObject(object(e.getKey()))
                                                .setVersion(e.getValue())));
        record.change().touches().stream()
                .sorted(ObjectKey.ORDER)
                .forEach(k -> b.addTouches(object(k)));
        ChangeEncoder.encode(record.change(), b);
        return b.build().toByteArray();
    }

    /**
     * Decodes a record; a change of an unknown kind becomes a {@link UnknownChange}.
     *
     * @throws RecordFormatException if the bytes are not a valid record of any version
     */
    public static LogRecord decode(byte[] data) throws RecordFormatException {
        try {
            return decode(RecordProto.parseFrom(data));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new RecordFormatException("malformed log record: " + e.getMessage(), e);
        }
    }

    private static LogRecord decode(RecordProto p) {
        Map<ObjectKey, Long> expects = new HashMap<>();
        boolean known = p.getReaderVersion() <= READER_VERSION;
        for (ExpectationProto e : p.getExpectsList()) {
            Optional<ObjectKey> key = key(e.getObject());
            key.ifPresent(k -> expects.put(k, e.getVersion()));
            known &= key.isPresent();
        }
        Optional<ActingEpoch> epoch =
                p.hasEpoch()
                        ? Optional.of(
                                new ActingEpoch(
                                        ZoneId.of(p.getEpoch().getShard()),
                                        p.getEpoch().getNumber()))
                        : Optional.empty();
        Optional<Change> change = known ? ChangeDecoder.decode(p).map(c -> c) : Optional.empty();
        return new LogRecord(
                RecordId.of(p.getId()),
                NodeId.of(p.getWriter()),
                epoch,
                expects,
                change.orElseGet(() -> new UnknownChange(touches(p))),
                new Basis(p.getBasis(), p.getBasisDigest()));
    }

    private static Set<ObjectKey> touches(RecordProto p) {
        Set<ObjectKey> keys = new HashSet<>();
        p.getTouchesList().forEach(o -> key(o).ifPresent(keys::add));
        return keys;
    }

    private static ObjectProto object(ObjectKey key) {
        return ObjectProto.newBuilder().setKind(key.kind().number()).setName(key.name()).build();
    }

    private static Optional<ObjectKey> key(ObjectProto o) {
        return ObjectKind.of(o.getKind()).map(k -> new ObjectKey(k, o.getName()));
    }
}
