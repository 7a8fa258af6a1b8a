package org.foxtailplank.cli.internal.fleet;

import java.util.Set;

/** Bodies of the calls that change something. */
final class Bodies {
    private Bodies() {}

    record Target(long version, int target, int reserve, String who, String why) {}

    record Move(long version, String to, String who, String why) {}

    record Order(long version, String who, String why) {}

    record Quota(long version, double quota, String who, String why) {}

    record WaveStart(String id, Set<String> zones, Set<String> pools, String who, String why) {}

    record WavePlan(Set<String> zones, Set<String> pools) {}

    record JobSubmission(
            String id,
            String team,
            String pool,
            String urgency,
            int processors,
            long memoryBytes,
            int accelerators,
            int tasks,
            String who,
            String why) {}
}
