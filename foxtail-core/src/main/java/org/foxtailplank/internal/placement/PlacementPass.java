package org.foxtailplank.internal.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
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
        PriorityQueue<Ranked> teams = new PriorityQueue<>();
        waiting.keySet().forEach(t -> teams.add(new Ranked(t, t.pressure())));
        while (mState.outbox().actions() < mState.settings().mostActions()) {
            Ranked next = teams.poll();
            if (next == null) {
                return;
            }
            boolean more = placeOneOf(firstJobs(waiting, next.team()));
            if (more && waiting.containsKey(next.team())) {
                teams.add(new Ranked(next.team(), next.team().pressure()));
            }
        }
        mPool.changed(mUrgency);
    }

    private static List<JobEntry> firstJobs(Map<TeamShare, Set<JobEntry>> waiting, TeamShare team) {
        return waiting.get(team).stream().limit(JOBS_TRIED).toList();
    }

    /** Places a task of the first job that finds room; whether there was one. */
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

    /** A team by what it had for its quota when it was put in line. */
    private record Ranked(TeamShare team, double pressure) implements Comparable<Ranked> {
        @Override
        public int compareTo(Ranked other) {
            return Double.compare(pressure, other.pressure);
        }
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
