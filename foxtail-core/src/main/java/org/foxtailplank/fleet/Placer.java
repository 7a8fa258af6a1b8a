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
 * Assigns tasks to workers.
 *
 * <p>Updated incrementally, so that the cost of a decision depends on the changes and not on the
 * size of the fleet. Holds only state that can be rebuilt from the log and the workers' reports.
 */
public interface Placer {

    /** Returns a new placer without workers and jobs. */
    static Placer indexed(PlacementSettings settings) {
        return new IndexedPlacer(settings);
    }

    /** Sets the share of each team under contention. */
    void setQuotas(Map<TeamId, Double> quotas);

    /** Adds or updates a worker. */
    void updateWorker(Worker worker, long nowMs);

    /** Removes a worker; its tasks remain until their leases expire. */
    void removeWorker(VmId worker, long nowMs);

    /** Adds or updates a job: a new one, a cancelled one, or one restored from a snapshot. */
    void updateJob(JobState job, long nowMs);

    /** Updates one task after a change in the log. */
    void updateTask(TaskId task, TaskState state, long nowMs);

    /** Applies a worker's report. */
    void applyReport(WorkerReport report, long nowMs);

    /** Records that a worker renewed the lease of a task. */
    void renewLease(TaskId task, long nowMs);

    /** Returns the actions to take now. */
    PlacementDecision decide(long nowMs);

    /** Explains the state of a job; empty for an unknown one. */
    Optional<Explanation> explain(JobId job, long nowMs);

    /** Explains why a worker gets tasks or none; empty for an unknown one. */
    Optional<Explanation> explain(VmId worker, long nowMs);
}
