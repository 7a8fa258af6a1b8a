package org.foxtailplank.internal.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.TaskAction;

/** Places what waits in one class of one pool, team by team. */
final class PlacementPass {

    /** Jobs of a team that are tried before the team counts as blocked for this pass. */
    private static final int JOBS_TRIED = 8;

    /** Searches for room that others could leave, for other than urgent work in one pass. */
    private static final int RECLAIMS_TRIED = 4;

    /** Places that other than urgent work may be waiting for in one pool. */
    private static final int MOST_RECLAIMS = 8;

    private final PlacementState mState;
    private final PoolEntry mPool;
    private final RequestClass mUrgency;
    private final RoomFinder mFinder;
    private final long mNowMs;
    private final Set<TeamShare> mBlocked = new HashSet<>();
    private final Set<JobEntry> mBlockedJobs = new HashSet<>();
    private int mReclaimsTried;

    PlacementPass(
            PlacementState state,
            PoolEntry pool,
            RequestClass urgency,
            RoomFinder finder,
            long nowMs) {
        mState = state;
        mPool = pool;
        mUrgency = urgency;
        mFinder = finder;
        mNowMs = nowMs;
    }

    void run() {
        Map<TeamShare, Set<JobEntry>> waiting = mPool.waiting(mUrgency);
        while (mState.outbox().actions() < mState.settings().mostActions()) {
            Optional<TeamShare> team = nextTeam(waiting);
            if (team.isEmpty()) {
                return;
            }
            Optional<JobEntry> job = nextJob(waiting.get(team.get()));
            if (job.isEmpty()) {
                mBlocked.add(team.get());
            } else if (!place(job.get())) {
                mBlockedJobs.add(job.get());
            }
        }
        mPool.changed(mUrgency);
    }

    private Optional<TeamShare> nextTeam(Map<TeamShare, Set<JobEntry>> waiting) {
        return waiting.keySet().stream()
                .filter(t -> !mBlocked.contains(t))
                .min(Comparator.comparingDouble(TeamShare::pressure));
    }

    private Optional<JobEntry> nextJob(Set<JobEntry> jobs) {
        return jobs.stream().limit(JOBS_TRIED).filter(j -> !mBlockedJobs.contains(j)).findFirst();
    }

    private boolean place(JobEntry job) {
        Optional<WorkerEntry> room = mFinder.find(job);
        if (room.isPresent()) {
            start(job, room.get(), TaskPhase.PROPOSED, "room on it");
            return true;
        }
        if (mUrgency != RequestClass.URGENT) {
            mReclaimsTried++;
            boolean tooMany = mReclaimsTried > RECLAIMS_TRIED || reclaimsOfPool() >= MOST_RECLAIMS;
            if (tooMany) {
                return false;
            }
        }
        Optional<Reclaim> way = new Reclaimer(mPool, mState.totalMilli(), mNowMs).find(job);
        way.ifPresent(r -> reclaim(job, r));
        return way.isPresent();
    }

    private long reclaimsOfPool() {
        return mState.awaitingRoom().stream()
                .filter(t -> t.worker().worker().pool().equals(mPool.id()))
                .count();
    }

    private void reclaim(JobEntry job, Reclaim way) {
        String why = "makes room for job " + job.id();
        for (PlacedTask victim : way.victims()) {
            if (way.byThrottling()) {
                victim.enter(TaskPhase.THROTTLED, TaskAction.THROTTLE, mNowMs);
                mState.reserve(victim, victim.need());
                mState.outbox().ask(victim, TaskAction.THROTTLE, false, why);
            } else {
                victim.enter(TaskPhase.LEAVING, TaskAction.CHECKPOINT, mNowMs);
                mState.outbox().ask(victim, TaskAction.CHECKPOINT, false, why);
                mState.timers().at(mNowMs + mState.settings().answerPatience().toMillis(), victim);
            }
        }
        TaskPhase phase = way.byThrottling() ? TaskPhase.PROPOSED : TaskPhase.AWAITING_ROOM;
        start(job, way.worker(), phase, "batch work gave way");
    }

    private void start(JobEntry job, WorkerEntry worker, TaskPhase phase, String why) {
        int index = job.takeWaiting();
        long attempt = job.attempt(index) + 1;
        PlacedTask task = mState.place(job, index, worker, attempt, phase, mNowMs);
        mPool.sort(job);
        if (phase == TaskPhase.AWAITING_ROOM) {
            mState.awaitingRoom().add(task);
            return;
        }
        mState.outbox().ask(task, TaskAction.START, false, why);
        mState.timers().at(mNowMs + TaskWatch.PROPOSAL_MS, task);
    }
}
