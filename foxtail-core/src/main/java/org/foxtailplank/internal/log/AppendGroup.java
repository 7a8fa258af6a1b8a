package org.foxtailplank.internal.log;

import java.util.List;
import org.foxtailplank.id.RecordId;

/**
 * Records that one caller appends atomically.
 *
 * @param number number that the caller assigned to the group
 * @param ids ids of the records, in order
 * @param bytes total size of the records
 * @param deadline time at which an unfinished append is reported as failed
 */
public record AppendGroup(long number, List<RecordId> ids, long bytes, long deadline) {

    public AppendGroup {
        ids = List.copyOf(ids);
        if (ids.isEmpty()) {
            throw new IllegalArgumentException("an append group must contain at least one record");
        }
    }
}
