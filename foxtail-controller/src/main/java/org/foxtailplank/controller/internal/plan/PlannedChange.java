package org.foxtailplank.controller.internal.plan;

import java.util.Map;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ObjectKey;

/**
 * A change that a shard wants to write.
 *
 * @param change the change
 * @param expectedVersions versions that the decision was made from
 */
public record PlannedChange(Change change, Map<ObjectKey, Long> expectedVersions) {
    public PlannedChange {
        expectedVersions = Map.copyOf(expectedVersions);
    }
}
