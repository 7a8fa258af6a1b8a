package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.QueueTerms;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmOutcome;
import org.foxtailplank.port.VmActions.VmPhase;

/**
 * Plays a load against the real decisions: jobs that come, VMs that move, tasks that take their
 * time. Everything else answers at once, so that what is late is late by a decision.
 */
final class Replay {
    /** Time between two decisions, in milliseconds. */
    private static final long STEP_MS = 100;

    /** Time from the call for a move until the VM is up, in milliseconds. */
    private static final long MOVE_MS = 1500;

    /** Time until its worker may be given tasks after that, in milliseconds. */
    private static final long JOIN_MS = 300;

    private static final int CORES = 32;

    final Owner mOwner = new Owner();
    final VmPlanner mPlanner = new VmPlanner(mOwner.mScheduler);

    private final List<Vm> mVms = new ArrayList<>();
    private final Map<String, JobOrder> mJobs = new LinkedHashMap<>();
    private final Map<String, Double> mSlower = new HashMap<>();
    private final Map<String, Long> mDoneMs = new HashMap<>();
    private final long mStartMs = mOwner.mNowMs;
    private long mClockMs = mStartMs;
    private long mEnds;

    /** A VM of the fleet. */
    private static final class Vm {
        final String mId;
        String mPool;
        int mLife;
        long mUpMs;
        boolean mJoined;

        Vm(String id, String pool) {
            mId = id;
            mPool = pool;
        }

        String worker() {
            return mId + "-" + mLife;
        }
    }

    /** VMs that are in a pool from the beginning. */
    void vms(String pool, int count) {
        for (int i = 0; i < count; i++) {
            Vm vm = new Vm("vm" + mVms.size(), pool);
            mVms.add(vm);
            join(vm);
        }
    }

    private void join(Vm vm) {
        vm.mJoined = true;
        if (!mOwner.mConfig.isStandby(vm.mPool)) {
            mOwner.worker(vm.worker(), vm.mPool, CORES);
        }
    }

    /** A job comes now whose tasks take as long as they are estimated. */
    void job(String service, TaskStep... steps) {
        job(service, 1, steps);
    }

    /** A job comes now whose tasks take so many times as long as they are estimated. */
    void job(String service, double slower, TaskStep... steps) {
        QueueTerms terms = new QueueTerms(0, 2, 1.6, 600, Optional.empty());
        String id = "job" + mJobs.size();
        JobOrder order =
                new JobOrder(
                        id,
                        "queue",
                        service,
                        "text",
                        List.of(steps),
                        Timetable.AT_ONCE,
                        terms,
                        wallMs());
        mJobs.put(id, order);
        mSlower.put(id, slower);
        mOwner.accept(order);
    }

    private long wallMs() {
        return Owner.WALL_MS + mClockMs - mStartMs;
    }

    /** Time since the beginning, in milliseconds. */
    long elapsedMs() {
        return mClockMs - mStartMs;
    }

    /** Lets one step of time pass. */
    void step() {
        mClockMs += STEP_MS;
        mOwner.mNowMs = mClockMs;
        for (Vm vm : mVms) {
            if (!vm.mJoined && mClockMs >= vm.mUpMs + JOIN_MS) {
                join(vm);
            }
        }
        endTasks();
        mOwner.place();
        moveVms();
    }

    /** Lets time pass. */
    void pass(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            step();
        }
    }

    private void endTasks() {
        for (WorkerState worker : List.copyOf(mOwner.mScheduler.workers())) {
            for (TaskRun run : List.copyOf(worker.runs())) {
                double takes =
                        run.slot().spec().estimateMs() * mSlower.get(run.slot().name().job());
                if (run.phase() == RunPhase.STOPPING) {
                    mEnds++;
                    mOwner.end(run, RunOutcome.STOPPED, mEnds);
                    continue;
                }
                if (run.phase() == RunPhase.RUNNING && mClockMs - run.startedMs() >= takes) {
                    mEnds++;
                    mOwner.end(run, RunOutcome.DONE, mEnds);
                    noteDone(run.slot().step().job());
                }
            }
        }
    }

    private void noteDone(ActiveJob job) {
        if (job.runs().get(0).isDone()) {
            mDoneMs.putIfAbsent(job.id(), wallMs());
        }
    }

    private void moveVms() {
        List<VmInfo> infos = new ArrayList<>();
        for (Vm vm : mVms) {
            boolean up = mClockMs >= vm.mUpMs;
            boolean hasWorker = up && !mOwner.mConfig.isStandby(vm.mPool);
            infos.add(
                    new VmInfo(
                            vm.mId,
                            vm.mPool,
                            up ? VmPhase.UP : VmPhase.MOVING,
                            hasWorker ? vm.worker() : "",
                            Resources.of(CORES, 1L << 40, 0)));
        }
        mPlanner.listed(infos, mClockMs);
        VmPlanner.VmDecisions decisions =
                mPlanner.decide(mOwner.mConfig, List.of(), mOwner.mBook, true, mClockMs, wallMs());
        decisions.actions().forEach(this::carryOut);
    }

    private void carryOut(VmPlanner.Call call) {
        Vm vm = mVms.stream().filter(v -> v.mId.equals(call.vm().id())).findAny().orElseThrow();
        mPlanner.answered(call, VmOutcome.DONE, mClockMs);
        mOwner.mScheduler.workerOver(vm.worker());
        vm.mPool = ((VmAction.Move) call.action()).pool();
        vm.mLife++;
        vm.mUpMs = mClockMs + MOVE_MS;
        vm.mJoined = false;
    }

    /** Jobs that were done by their objectives. */
    long inTime() {
        return mJobs.values().stream().filter(this::isInTime).count();
    }

    /** Jobs of a service that were done by their objectives. */
    long inTime(String service) {
        return mJobs.values().stream()
                .filter(o -> o.service().equals(service))
                .filter(this::isInTime)
                .count();
    }

    private boolean isInTime(JobOrder order) {
        long objective = order.acceptedMs() + Urgency.objectiveLengthMs(order);
        return mDoneMs.getOrDefault(order.id(), Long.MAX_VALUE) <= objective;
    }

    int done() {
        return mDoneMs.size();
    }

    int jobs() {
        return mJobs.size();
    }
}
