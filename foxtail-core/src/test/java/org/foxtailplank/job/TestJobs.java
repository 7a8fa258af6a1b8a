package org.foxtailplank.job;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;

/** Definitions of jobs with one step of plain tasks. */
final class TestJobs {
    private TestJobs() {}

    static JobDefinition definition(
            String id, String queue, String organisation, int tasks, long acceptedMs) {
        TaskStep step =
                new TaskStep(
                        tasks,
                        Resources.of(1, 1, 0),
                        100,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        return new JobDefinition(
                id,
                queue,
                "s",
                "t",
                List.of(step),
                Timetable.AT_ONCE,
                policy,
                acceptedMs,
                7,
                organisation);
    }
}
