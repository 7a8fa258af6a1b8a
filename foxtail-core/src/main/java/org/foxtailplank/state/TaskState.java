package org.foxtailplank.state;

import java.util.Optional;
import org.foxtailplank.id.VmId;

/**
 * A task as folded from the log.
 *
 * @param worker worker it was last placed on
 * @param attempt attempt number
 * @param action last action intended
 * @param outcome last confirmed outcome
 */
public record TaskState(
        VmId worker, long attempt, TaskAction action, Optional<TaskOutcome> outcome) {}
