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

/** A job, its tasks that wait and its tasks that are placed. */
final class JobEntry {

    /** Workers on which a job may fail before it is held to be its own fault. */
    private static final int WORKERS_TO_GIVE_UP = 3;

    private final JobId mId;
    private final TeamShare mTeam;
    private final JobSpec mSpec;
    private final UsageEstimate mEstimate;
    private final Map<Integer, PlacedTask> mPlaced = new HashMap<>();
    private final Map<RackId, Integer> mRacks = new HashMap<>();
    private final Map<Integer, Long> mAttempts = new HashMap<>();
    private final Set<Integer> mAgain = new LinkedHashSet<>();
    private final Set<VmId> mFailedOn = new HashSet<>();
    private int mNextFresh;
    private int mDone;
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
        boolean more = !mAgain.isEmpty() || mNextFresh < mSpec.tasks();
        return more && !mCancelled && mRefused.isEmpty();
    }

    int waiting() {
        return mAgain.size() + mSpec.tasks() - mNextFresh;
    }

    /** Takes the index of a task that waits. */
    int takeWaiting() {
        if (mAgain.isEmpty()) {
            return mNextFresh++;
        }
        int index = mAgain.iterator().next();
        mAgain.remove(index);
        return index;
    }

    /** A task is known to the log, so it is not fresh any more. */
    void known(int index) {
        while (mNextFresh <= index) {
            if (mNextFresh < index && !mAttempts.containsKey(mNextFresh)) {
                mAgain.add(mNextFresh);
            }
            mNextFresh++;
        }
        mAgain.remove(index);
    }

    void again(int index) {
        mAgain.add(index);
    }

    long attempt(int index) {
        return mAttempts.getOrDefault(index, 0L);
    }

    void attempt(int index, long attempt) {
        mAttempts.merge(index, attempt, Math::max);
    }

    void place(PlacedTask task) {
        mPlaced.put(task.id().index(), task);
        mRacks.merge(task.worker().worker().rack(), 1, Integer::sum);
        task.worker().add(task);
        used(task.reserved().milliProcessors());
    }

    void displace(PlacedTask task) {
        mPlaced.remove(task.id().index());
        mRacks.merge(task.worker().worker().rack(), -1, Integer::sum);
        task.worker().remove(task);
        used(-task.reserved().milliProcessors());
    }

    /** Its tasks take more or less than before. */
    void used(long milliProcessors) {
        mTeam.used(milliProcessors, mSpec.urgency() == RequestClass.URGENT);
    }

    int tasksIn(RackId rack) {
        return mRacks.getOrDefault(rack, 0);
    }

    void done() {
        mDone++;
    }

    boolean isOver() {
        boolean allDone = mDone >= mSpec.tasks();
        boolean ended = mCancelled || mRefused.isPresent();
        return mPlaced.isEmpty() && (allDone || ended);
    }

    /** A task failed on a worker; whether the job has now failed on too many to be tried again. */
    boolean failedOn(VmId worker) {
        mFailedOn.add(worker);
        // One failure is as likely the worker's; two workers hardly fail the same job by chance.
        if (mFailedOn.size() > 1) {
            mEstimate.failed();
        }
        return mFailedOn.size() >= WORKERS_TO_GIVE_UP;
    }

    /** The worker was at fault, not the job. */
    void forgive(VmId worker) {
        mFailedOn.remove(worker);
        mEstimate.forgive();
    }

    Set<VmId> failedOn() {
        return mFailedOn;
    }

    boolean runsSomewhere() {
        return mDone > 0 || mPlaced.values().stream().anyMatch(t -> t.phase().runs());
    }

    void cancel() {
        mCancelled = true;
        mAgain.clear();
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
