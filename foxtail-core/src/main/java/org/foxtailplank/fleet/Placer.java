package org.foxtailplank.fleet;

import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.placement.IndexedPlacer;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.TaskState;

/**
 * Decides which worker runs which task.
 *
 * <p>It is an index that is told each change, so that a decision costs in proportion to what has
 * changed and not to the fleet. It holds nothing that the log and the workers could not tell anew.
 */
public interface Placer {

    /** A placer that knows nothing yet. */
    static Placer indexed(PlacementSettings settings) {
        return new IndexedPlacer(settings);
    }

    /** The share of each team under contention. */
    void quotas(Map<TeamId, Double> quotas);

    /** A worker is new or has changed. */
    void worker(Worker worker, long nowMs);

    /** A worker is gone; its tasks stay until their leases lapse. */
    void workerGone(VmId worker, long nowMs);

    /** A job is new, was cancelled, or is read anew from a snapshot. */
    void job(JobState job, long nowMs);

    /** One task has changed in the log. */
    void task(TaskId task, TaskState state, long nowMs);

    /** A worker's report has arrived. */
    void report(WorkerReport report, long nowMs);

    /** A worker has renewed the lease of a task. */
    void renewed(TaskId task, long nowMs);

    /** What to do now. */
    PlacementDecision decide(long nowMs);

    /** Why a job is where it is; empty for an unknown one. */
    Optional<Explanation> explain(JobId job, long nowMs);

    /** Why a worker gets tasks or gets none; empty for an unknown one. */
    Optional<Explanation> explain(VmId worker, long nowMs);
}
