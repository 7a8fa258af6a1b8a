package org.foxtailplank.state;

import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;

/**
 * One record on the log.
 *
 * @param id id of the record; a later record with the same id is void
 * @param writer node that wrote it
 * @param epoch epoch under which a controller wrote it; empty for operators
 * @param expects version (offset of the last change) that each named object must have; 0 for one
 *     that must not exist
 * @param change what it changes
 * @param basis what its writer had folded when it made the record; ids are remembered long enough
 *     only for records that are not much older
 */
public record LogRecord(
        RecordId id,
        NodeId writer,
        Optional<ActingEpoch> epoch,
        Map<ObjectKey, Long> expects,
        Change change,
        Basis basis) {

    public LogRecord {
        expects = Map.copyOf(expects);
    }

    /** Names a change whose basis is yet to be set. */
    public LogRecord(
            RecordId id,
            NodeId writer,
            Optional<ActingEpoch> epoch,
            Map<ObjectKey, Long> expects,
            Change change) {
        this(id, writer, epoch, expects, change, Basis.NONE);
    }

    /** The same record, made by a writer that had folded some other part of the log. */
    public LogRecord basedOn(Basis other) {
        return new LogRecord(id, writer, epoch, expects, change, other);
    }
}
