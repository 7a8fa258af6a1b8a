package org.foxtailplank.controller.internal.plan;

import java.util.Map;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ObjectKey;

/**
 * A change to be written by a shard.
 *
 * @param change the change
 * @param expectedVersions object versions that the decision is based on
 */
public record PlannedChange(Change change, Map<ObjectKey, Long> expectedVersions) {
    public PlannedChange {
        expectedVersions = Map.copyOf(expectedVersions);
    }
}
