package org.foxtailplank.cli.internal.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** What the administration API says about the objects of the fleet. */
final class Rows {
    private Rows() {}

    /** An object with a version, from which the next change of it is made. */
    interface Versioned {
        long version();
    }

    record Pool(
            String id,
            Optional<String> service,
            int target,
            int reserve,
            long version,
            int vms,
            long serving,
            long on)
            implements Versioned {}

    record Vm(
            String id,
            String zone,
            String rack,
            String pool,
            String phase,
            Optional<String> pending,
            Optional<String> wave,
            Optional<String> joining,
            long version)
            implements Versioned {}

    record Wave(
            String id,
            List<String> zones,
            List<String> finished,
            String phase,
            String who,
            String why,
            long version,
            long vms,
            long maintained,
            long underWay)
            implements Versioned {
        boolean isOver() {
            return phase.equals("FINISHED") || phase.equals("CANCELLED");
        }

        String progress() {
            return "wave %s %s: %d of %d VMs maintained, %d under way"
                    .formatted(id, phase.toLowerCase(Locale.ROOT), maintained, vms, underWay);
        }
    }

    record Plan(int vms, List<Step> steps, List<String> blocked) {}

    record Step(int width, List<String> vms, List<String> racks, List<String> limits) {}

    record Job(
            String id,
            String team,
            String pool,
            String urgency,
            int processors,
            long memoryBytes,
            int tasks,
            boolean cancelled,
            List<Task> placed,
            long version)
            implements Versioned {}

    record Task(int task, String worker, long attempt, String action) {}

    record Team(String id, double quota, String role, long version) implements Versioned {}

    record Node(String id, String zone, String admin, long silenceMs, List<Shard> shards) {}

    record Shard(String zone, long epoch) {}

    /** A change that took effect. */
    record Applied(long version) {}
}
