package org.foxtailplank.internal.log;

import java.util.List;
import org.foxtailplank.id.RecordId;

/**
 * Records that one caller wants appended, all or none.
 *
 * @param number number by which the caller knows the group
 * @param ids ids of the records, in order
 * @param bytes size of the records
 * @param giveUpAt time at which the caller wants to be told that it was in vain
 */
public record AppendGroup(long number, List<RecordId> ids, long bytes, long giveUpAt) {

    public AppendGroup {
        ids = List.copyOf(ids);
        if (ids.isEmpty()) {
            throw new IllegalArgumentException("a group without records can't be appended");
        }
    }
}
