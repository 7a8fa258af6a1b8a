package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.Placer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.Worker;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;

/** Simulates workers that answer a placer immediately, except failing and silent ones. */
final class FakeWorkers {

    static final long GIB = 1L << 30;

    public final Placer placer = Placer.indexed(PlacementSettings.standard());
    public final Map<TaskId, TaskState> tasks = new HashMap<>();
    public final Set<VmId> failing = new HashSet<>();
    public final Set<VmId> silent = new HashSet<>();
    public final Set<TaskAction> ignored = new HashSet<>();
    public final Map<JobId, JobState> jobs = new HashMap<>();
    public final List<PlacementAction> asked = new ArrayList<>();
    public long now;

    FakeWorkers workers(String pool, int count, int processors) {
        for (int i = 0; i < count; i++) {
            worker(pool, i, processors, true);
        }
        return this;
    }

    void worker(String pool, int i, int processors, boolean open) {
        Resources capacity = Resources.of(processors, processors * 4 * GIB, 0);
        VmId id = VmId.of(pool + i);
        RackId rack = RackId.of("r" + i / 4);
        placer.updateWorker(new Worker(id, PoolId.of(pool), rack, capacity, open), now);
    }

    FakeWorkers team(String name, double quota) {
        placer.setQuotas(Map.of(TeamId.of(name), quota));
        return this;
    }

    JobId job(String name, String team, RequestClass urgency, int processors, int count) {
        JobSpec spec =
                new JobSpec(
                        TeamId.of(team),
                        PoolId.of("p"),
                        urgency,
                        processors,
                        processors * 4 * GIB,
                        0,
                        count);
        JobState job = new JobState(JobId.of(name), spec, false, Map.of(), 1);
        jobs.put(job.id(), job);
        placer.updateJob(job, now);
        return job.id();
    }

    void cancel(JobId id) {
        JobState j = jobs.get(id);
        placer.updateJob(new JobState(id, j.spec(), true, Map.of(), 2), now);
    }

    /** Executes one decision of the placer. */
    PlacementDecision round() {
        PlacementDecision decision = placer.decide(now);
        for (PlacementAction action : decision.actions()) {
            asked.add(action);
            if (!action.repeated()) {
                set(action, Optional.empty());
            }
            answer(action);
        }
        for (PlacementDecision.LapsedTask lapsed : decision.lapsed()) {
            end(lapsed.task(), TaskOutcome.LOST);
        }
        return decision;
    }

    void rounds(int count, long stepMs) {
        for (int i = 0; i < count; i++) {
            round();
            now += stepMs;
        }
    }

    private void answer(PlacementAction action) {
        boolean unanswered = silent.contains(action.worker()) || ignored.contains(action.action());
        if (unanswered) {
            return;
        }
        switch (action.action()) {
            case START -> {
                boolean fails = failing.contains(action.worker());
                set(action, Optional.of(fails ? TaskOutcome.FAILED : TaskOutcome.RUNNING));
            }
            case THROTTLE -> set(action, Optional.of(TaskOutcome.RUNNING));
            default -> set(action, Optional.of(TaskOutcome.STOPPED));
        }
    }

    private void set(PlacementAction a, Optional<TaskOutcome> outcome) {
        TaskState state = new TaskState(a.worker(), a.attempt(), a.action(), outcome);
        tasks.put(a.task(), state);
        placer.updateTask(a.task(), state, now);
    }

    void end(TaskId task, TaskOutcome outcome) {
        TaskState t = tasks.get(task);
        TaskState ended = new TaskState(t.worker(), t.attempt(), t.action(), Optional.of(outcome));
        tasks.put(task, ended);
        placer.updateTask(task, ended, now);
    }

    long running(JobId job) {
        return tasks.entrySet().stream()
                .filter(e -> e.getKey().job().equals(job))
                .filter(e -> runs(e.getValue()))
                .count();
    }

    static boolean runs(TaskState state) {
        return state.outcome().filter(TaskOutcome.RUNNING::equals).isPresent();
    }

    long asked(TaskAction action) {
        return asked.stream().filter(a -> a.action() == action).count();
    }

    /** Renews the leases of all running tasks on workers that are not silent. */
    void renewAll() {
        tasks.forEach(
                (id, t) -> {
                    if (runs(t) && !silent.contains(t.worker())) {
                        placer.renewLease(id, now);
                    }
                });
    }
}
