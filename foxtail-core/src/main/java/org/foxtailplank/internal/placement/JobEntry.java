package org.foxtailplank.internal.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.JobSpec;

/** A job with its waiting and its placed tasks. */
final class JobEntry {

    /** Number of workers on which a job fails before the job is refused. */
    private static final int MAX_FAILED_WORKERS = 3;

    private final JobId mId;
    private final TeamShare mTeam;
    private final JobSpec mSpec;
    private final UsageEstimate mEstimate;
    private final Map<Integer, PlacedTask> mPlaced = new HashMap<>();
    private final Map<RackId, Integer> mRacks = new HashMap<>();
    private final Map<Integer, Long> mAttempts = new HashMap<>();
    private final Set<Integer> mRequeued = new LinkedHashSet<>();
    private final Set<VmId> mFailedOn = new HashSet<>();
    private int mNextUnplaced;
    private int mSucceeded;
    private boolean mCancelled;
    private Optional<String> mRefused = Optional.empty();

    JobEntry(JobId id, JobSpec spec, TeamShare team) {
        mId = id;
        mTeam = team;
        mSpec = spec;
        mEstimate = new UsageEstimate(Resources.declaredBy(spec), team.ratio());
    }

    JobId id() {
        return mId;
    }

    TeamShare team() {
        return mTeam;
    }

    JobSpec spec() {
        return mSpec;
    }

    UsageEstimate estimate() {
        return mEstimate;
    }

    Map<Integer, PlacedTask> placed() {
        return mPlaced;
    }

    boolean isWaiting() {
        boolean hasWaiting = !mRequeued.isEmpty() || mNextUnplaced < mSpec.tasks();
        return hasWaiting && !mCancelled && mRefused.isEmpty();
    }

    int waiting() {
        return mRequeued.size() + mSpec.tasks() - mNextUnplaced;
    }

    /** Removes and returns the index of a waiting task. */
    int pollWaiting() {
        if (mRequeued.isEmpty()) {
            return mNextUnplaced++;
        }
        int index = mRequeued.iterator().next();
        mRequeued.remove(index);
        return index;
    }

    /** Marks a task as recorded in the log; earlier tasks that are not recorded are requeued. */
    void markRecorded(int index) {
        while (mNextUnplaced <= index) {
            if (mNextUnplaced < index && !mAttempts.containsKey(mNextUnplaced)) {
                mRequeued.add(mNextUnplaced);
            }
            mNextUnplaced++;
        }
        mRequeued.remove(index);
    }

    void requeue(int index) {
        mRequeued.add(index);
    }

    long attempt(int index) {
        return mAttempts.getOrDefault(index, 0L);
    }

    void raiseAttempt(int index, long attempt) {
        mAttempts.merge(index, attempt, Math::max);
    }

    void place(PlacedTask task) {
        mPlaced.put(task.id().index(), task);
        mRacks.merge(task.worker().worker().rack(), 1, Integer::sum);
        task.worker().add(task);
        adjustUsage(task.reserved().milliProcessors());
    }

    void displace(PlacedTask task) {
        mPlaced.remove(task.id().index());
        mRacks.merge(task.worker().worker().rack(), -1, Integer::sum);
        task.worker().remove(task);
        adjustUsage(-task.reserved().milliProcessors());
    }

    /** Adjusts the processors that the job uses. */
    void adjustUsage(long milliProcessors) {
        mTeam.adjustUsage(milliProcessors, mSpec.urgency() == RequestClass.URGENT);
    }

    int tasksIn(RackId rack) {
        return mRacks.getOrDefault(rack, 0);
    }

    void taskSucceeded() {
        mSucceeded++;
    }

    boolean isFinished() {
        boolean allDone = mSucceeded >= mSpec.tasks();
        boolean ended = mCancelled || mRefused.isPresent();
        return mPlaced.isEmpty() && (allDone || ended);
    }

    /** Records a failure on a worker; returns whether the job has failed on too many workers. */
    boolean recordFailure(VmId worker) {
        mFailedOn.add(worker);
        // A single failure may be caused by the worker; failures on two workers suggest the job.
        if (mFailedOn.size() > 1) {
            mEstimate.raiseMemory();
        }
        return mFailedOn.size() >= MAX_FAILED_WORKERS;
    }

    /** Clears a failure that was caused by the worker. */
    void clearFailure(VmId worker) {
        mFailedOn.remove(worker);
        mEstimate.resetMemory();
    }

    Set<VmId> failedOn() {
        return mFailedOn;
    }

    boolean hasRunningOrSucceededTask() {
        return mSucceeded > 0 || mPlaced.values().stream().anyMatch(t -> t.phase().runs());
    }

    void cancel() {
        mCancelled = true;
        mRequeued.clear();
    }

    boolean isCancelled() {
        return mCancelled;
    }

    void refuse(String why) {
        mRefused = Optional.of(why);
    }

    void readmit() {
        mRefused = Optional.empty();
    }

    Optional<String> refused() {
        return mRefused;
    }
}
