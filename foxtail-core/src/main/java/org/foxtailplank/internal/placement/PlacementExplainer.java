package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.fleet.Explanation.Reason;
import org.foxtailplank.fleet.ReasonKind;

/** Explains the state of jobs and workers. */
final class PlacementExplainer {

    private PlacementExplainer() {}

    static Explanation of(JobEntry job, PlacementState state) {
        List<Reason> reasons = new ArrayList<>();
        job.refused()
                .ifPresent(
                        why ->
                                reasons.add(
                                        new Reason(
                                                ReasonKind.NEVER,
                                                "it can't run: " + why,
                                                "a change of the job or of its pool")));
        if (job.isCancelled()) {
            reasons.add(
                    new Reason(
                            ReasonKind.ORDERED,
                            "it is cancelled; " + job.placed().size() + " tasks are left",
                            job.placed().isEmpty() ? "" : "the workers to stop them"));
        } else if (job.isWaiting()) {
            reasons.add(waiting(job, state));
        }
        Map<TaskPhase, Integer> phases = new TreeMap<>();
        job.placed().values().forEach(t -> phases.merge(t.phase(), 1, Integer::sum));
        phases.forEach((phase, count) -> reasons.add(placed(phase, count)));
        return new Explanation("job " + job.id(), reasons);
    }

    private static Reason waiting(JobEntry job, PlacementState state) {
        if (job.team().isOverQuota(state.totalMilliProcessors())) {
            return new Reason(
                    ReasonKind.QUOTA,
                    job.waiting() + " tasks wait; its team exceeds its quota",
                    "capacity that no team below its quota needs");
        }
        return new Reason(
                ReasonKind.NO_ROOM,
                job.waiting()
                        + " tasks wait; no worker of pool "
                        + job.spec().pool()
                        + " has enough free capacity",
                "a task to end, a worker to be woken, or batch work to be preempted");
    }

    private static Reason placed(TaskPhase phase, int count) {
        String tasks = count + (count == 1 ? " task " : " tasks ");
        return switch (phase) {
            case AWAITING_CAPACITY ->
                    new Reason(
                            ReasonKind.NO_ROOM,
                            tasks + "wait for preempted batch work to leave",
                            "checkpoints");
            case PROPOSED ->
                    new Reason(
                            ReasonKind.ACTION_PENDING,
                            tasks + "are to be started",
                            "the intent to be in the log");
            case STARTING ->
                    new Reason(
                            ReasonKind.ACTION_PENDING,
                            tasks + "were requested to start",
                            "the workers' answers");
            case RUNNING -> new Reason(ReasonKind.SETTLED, tasks + "run", "");
            case THROTTLED ->
                    new Reason(
                            ReasonKind.NO_ROOM,
                            tasks + "run slower for urgent work",
                            "capacity on other workers");
            case LEAVING ->
                    new Reason(
                            ReasonKind.ACTION_PENDING,
                            tasks + "were requested to checkpoint or stop",
                            "the workers' answers");
        };
    }

    static Explanation of(WorkerEntry worker, long nowMs) {
        List<Reason> reasons = new ArrayList<>();
        long closed = worker.health().closedUntilMs() - nowMs;
        if (worker.health().isQuarantined()) {
            reasons.add(
                    new Reason(
                            ReasonKind.QUARANTINED,
                            worker.health().failures() + " tasks in a row failed on it",
                            closed > 0 ? closed / 1000 + " s to pass" : "one task on trial"));
        } else if (!worker.isOpen()) {
            reasons.add(new Reason(ReasonKind.NOT_WANTED, "it does not serve", "the VM to serve"));
        }
        reasons.add(
                new Reason(
                        ReasonKind.SETTLED,
                        worker.tasks().size() + " tasks; " + worker.free() + " is free",
                        ""));
        return new Explanation("vm " + worker.worker().id(), reasons);
    }
}
