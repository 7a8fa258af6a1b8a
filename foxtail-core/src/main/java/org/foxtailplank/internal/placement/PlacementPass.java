package org.foxtailplank.internal.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.TaskAction;

/** Places waiting tasks of one class in one pool, by the relative usage of teams. */
final class PlacementPass {

    /** Maximum number of jobs of a team that are tried before the team counts as blocked. */
    private static final int MAX_JOBS_TRIED = 8;

    /** Maximum number of preemption searches for non-urgent work in one pass. */
    private static final int MAX_PREEMPTION_SEARCHES = 4;

    /**
     * Maximum number of tasks in one pool that wait for preempted work before non-urgent work stops
     * preempting.
     */
    private static final int MAX_PENDING_PREEMPTIONS = 8;

    private final PlacementState mState;
    private final PoolEntry mPool;
    private final RequestClass mUrgency;
    private final WorkerFinder mFinder;
    private final long mNowMs;
    private final Set<JobEntry> mBlockedJobs = new HashSet<>();
    private int mPreemptionSearches;

    PlacementPass(
            PlacementState state,
            PoolEntry pool,
            RequestClass urgency,
            WorkerFinder finder,
            long nowMs) {
        mState = state;
        mPool = pool;
        mUrgency = urgency;
        mFinder = finder;
        mNowMs = nowMs;
    }

    void run() {
        Map<TeamShare, Set<JobEntry>> waiting = mPool.waiting(mUrgency);
        PriorityQueue<RankedTeam> teams = new PriorityQueue<>();
        waiting.keySet().forEach(t -> teams.add(new RankedTeam(t, t.usagePerQuota())));
        while (mState.outbox().actionCount() < mState.settings().maxActions()) {
            RankedTeam next = teams.poll();
            if (next == null) {
                return;
            }
            boolean placed = placeOneOf(nextJobs(waiting, next.team()));
            if (placed && waiting.containsKey(next.team())) {
                teams.add(new RankedTeam(next.team(), next.team().usagePerQuota()));
            }
        }
        mPool.markChanged(mUrgency);
    }

    private static List<JobEntry> nextJobs(Map<TeamShare, Set<JobEntry>> waiting, TeamShare team) {
        return waiting.get(team).stream().limit(MAX_JOBS_TRIED).toList();
    }

    /** Places a task of the first job that fits; returns whether a task was placed. */
    private boolean placeOneOf(List<JobEntry> jobs) {
        for (JobEntry job : jobs) {
            if (mBlockedJobs.contains(job)) {
                continue;
            }
            if (place(job)) {
                return true;
            }
            mBlockedJobs.add(job);
        }
        return false;
    }

    /** A team with its usage per quota at the time of queueing. */
    private record RankedTeam(TeamShare team, double usagePerQuota)
            implements Comparable<RankedTeam> {
        @Override
        public int compareTo(RankedTeam other) {
            return Double.compare(usagePerQuota, other.usagePerQuota);
        }
    }

    private boolean place(JobEntry job) {
        Optional<WorkerEntry> worker = mFinder.find(job);
        if (worker.isPresent()) {
            start(job, worker.get(), TaskPhase.PROPOSED, "free capacity");
            return true;
        }
        if (mUrgency != RequestClass.URGENT) {
            mPreemptionSearches++;
            boolean tooMany =
                    mPreemptionSearches > MAX_PREEMPTION_SEARCHES
                            || pendingPreemptions() >= MAX_PENDING_PREEMPTIONS;
            if (tooMany) {
                return false;
            }
        }
        Optional<PreemptionPlan> plan =
                new PreemptionPlanner(mPool, mState.totalMilliProcessors(), mNowMs).find(job);
        plan.ifPresent(p -> preempt(job, p));
        return plan.isPresent();
    }

    private long pendingPreemptions() {
        return mState.awaitingCapacity().stream()
                .filter(t -> t.worker().worker().pool().equals(mPool.id()))
                .count();
    }

    private void preempt(JobEntry job, PreemptionPlan plan) {
        String why = "preempted for job " + job.id();
        for (PlacedTask victim : plan.victims()) {
            if (plan.byThrottling()) {
                victim.transitionTo(TaskPhase.THROTTLED, TaskAction.THROTTLE, mNowMs);
                mState.reserve(victim, victim.requirement());
                mState.outbox().add(victim, TaskAction.THROTTLE, false, why);
            } else {
                victim.transitionTo(TaskPhase.LEAVING, TaskAction.CHECKPOINT, mNowMs);
                mState.outbox().add(victim, TaskAction.CHECKPOINT, false, why);
                mState.timers()
                        .schedule(mNowMs + mState.settings().answerTimeout().toMillis(), victim);
            }
        }
        TaskPhase phase = plan.byThrottling() ? TaskPhase.PROPOSED : TaskPhase.AWAITING_CAPACITY;
        start(job, plan.worker(), phase, "preempted batch work");
    }

    private void start(JobEntry job, WorkerEntry worker, TaskPhase phase, String why) {
        int index = job.pollWaiting();
        long attempt = job.attempt(index) + 1;
        PlacedTask task = mState.place(job, index, worker, attempt, phase, mNowMs);
        mPool.updateQueue(job);
        if (phase == TaskPhase.AWAITING_CAPACITY) {
            mState.awaitingCapacity().add(task);
            return;
        }
        mState.outbox().add(task, TaskAction.START, false, why);
        mState.timers().schedule(mNowMs + TaskMonitor.PROPOSAL_TIMEOUT_MS, task);
    }
}
