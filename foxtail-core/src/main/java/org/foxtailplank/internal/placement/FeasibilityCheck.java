package org.foxtailplank.internal.placement;

import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.state.JobSpec;

/** Checks whether a job can ever run in its pool. */
final class FeasibilityCheck {

    private FeasibilityCheck() {}

    /** Returns why the job can never run; empty if it can. */
    static Optional<String> refusal(JobEntry job, PoolEntry pool) {
        JobSpec spec = job.spec();
        if (spec.tasks() <= 0) {
            return Optional.of("it has no tasks");
        }
        if (pool.workers().isEmpty()) {
            return Optional.of(
                    "pool "
                            + spec.pool()
                            + " has no workers; choose another pool or add VMs to it");
        }
        if (job.team().quota() <= 0) {
            return Optional.of("team " + spec.team() + " has no quota; ask an operator for one");
        }
        Resources need = Resources.declaredBy(spec);
        boolean fits = pool.workers().stream().anyMatch(w -> need.fitsIn(w.capacity()));
        return fits ? Optional.empty() : Optional.of(tooLarge(spec, pool));
    }

    private static String tooLarge(JobSpec spec, PoolEntry pool) {
        long processors = 0;
        long memory = 0;
        int accelerators = 0;
        for (WorkerEntry w : pool.workers()) {
            processors = Math.max(processors, w.capacity().milliProcessors() / 1000);
            memory = Math.max(memory, w.capacity().memoryBytes());
            accelerators = Math.max(accelerators, w.capacity().accelerators());
        }
        return String.format(
                "a task asks for %d processors, %d bytes of memory and %d accelerators; no worker"
                        + " of pool %s has all that (at most %d, %d and %d); ask for less or choose"
                        + " another pool",
                spec.processors(),
                spec.memoryBytes(),
                spec.accelerators(),
                spec.pool(),
                processors,
                memory,
                accelerators);
    }
}
