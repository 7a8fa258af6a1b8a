package org.foxtailplank.state;

import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;

/**
 * One record of the log.
 *
 * @param id unique id; a later record with the same id is void
 * @param writer node that wrote it
 * @param epoch epoch under which a controller wrote it; empty for operators
 * @param expects version (offset of the last change) that each named object must have; 0 for one
 *     that must not exist
 * @param change the state change
 * @param basis part of the log that the writer had folded; a record whose basis is too old for the
 *     duplicate check is void
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

    /** Creates a record without a basis. */
    public LogRecord(
            RecordId id,
            NodeId writer,
            Optional<ActingEpoch> epoch,
            Map<ObjectKey, Long> expects,
            Change change) {
        this(id, writer, epoch, expects, change, Basis.NONE);
    }

    /** Returns a copy of this record with another basis. */
    public LogRecord withBasis(Basis other) {
        return new LogRecord(id, writer, epoch, expects, change, other);
    }
}
