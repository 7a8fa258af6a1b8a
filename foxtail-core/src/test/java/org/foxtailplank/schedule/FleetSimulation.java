package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;
import org.foxtailplank.port.VmClient.VmPhase;

/**
 * Simulates a fleet under load with the real decisions: jobs arrive, VMs move, and tasks take time.
 * Everything else answers immediately, so a job is late only because of the decisions.
 */
final class FleetSimulation {
    /** Time between two decisions, in milliseconds. */
    private static final long STEP_MS = 100;

    /** Time from the request of a move until the VM is up, in milliseconds. */
    private static final long MOVE_MS = 1500;

    /** Time from then until the worker may be given tasks, in milliseconds. */
    private static final long JOIN_MS = 300;

    private static final int CORES = 32;

    final OwnerHarness mOwner = new OwnerHarness();
    final VmPlanner mPlanner = new VmPlanner(mOwner.mScheduler);

    private final List<Vm> mVms = new ArrayList<>();
    private final Map<String, JobDefinition> mJobs = new LinkedHashMap<>();
    private final Map<String, Double> mSlowdowns = new HashMap<>();
    private final Map<String, Long> mDoneMs = new HashMap<>();
    private final long mStartMs = mOwner.mNowMs;
    private long mClockMs = mStartMs;
    private long mLastSequence;

    /** A simulated VM. */
    private static final class Vm {
        final String mId;
        String mPool;
        int mIncarnation;
        long mUpMs;
        boolean mJoined;

        Vm(String id, String pool) {
            mId = id;
            mPool = pool;
        }

        String worker() {
            return mId + "-" + mIncarnation;
        }
    }

    /** Adds VMs to a pool. */
    void addVms(String pool, int count) {
        for (int i = 0; i < count; i++) {
            Vm vm = new Vm("vm" + mVms.size(), pool);
            mVms.add(vm);
            join(vm);
        }
    }

    private void join(Vm vm) {
        vm.mJoined = true;
        if (!mOwner.mConfig.isStandby(vm.mPool)) {
            mOwner.addWorker(vm.worker(), vm.mPool, CORES);
        }
    }

    /** Adds a job whose tasks take their estimated time. */
    void addJob(String service, TaskStep... steps) {
        addJob(service, 1, steps);
    }

    /** Adds a job whose tasks take a multiple of their estimated time. */
    void addJob(String service, double slowdown, TaskStep... steps) {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        String id = "job" + mJobs.size();
        JobDefinition definition =
                new JobDefinition(
                        id,
                        "queue",
                        service,
                        "text",
                        List.of(steps),
                        Timetable.AT_ONCE,
                        policy,
                        wallMs(),
                        0,
                        "");
        mJobs.put(id, definition);
        mSlowdowns.put(id, slowdown);
        mOwner.accept(definition);
    }

    private long wallMs() {
        return OwnerHarness.WALL_MS + mClockMs - mStartMs;
    }

    /** Simulated time since the start, in milliseconds. */
    long elapsedMs() {
        return mClockMs - mStartMs;
    }

    /** Advances the simulation by one step. */
    void tick() {
        mClockMs += STEP_MS;
        mOwner.mNowMs = mClockMs;
        for (Vm vm : mVms) {
            if (!vm.mJoined && mClockMs >= vm.mUpMs + JOIN_MS) {
                join(vm);
            }
        }
        endTasks();
        mOwner.placeTasks();
        moveVms();
    }

    /** Advances the simulation. */
    void advance(long ms) {
        for (long elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
            tick();
        }
    }

    private void endTasks() {
        for (WorkerState worker : List.copyOf(mOwner.mScheduler.workers())) {
            for (TaskRun run : List.copyOf(worker.runs())) {
                double durationMs =
                        run.task().spec().estimateMs() * mSlowdowns.get(run.task().name().job());
                if (run.phase() == RunPhase.STOPPING) {
                    mLastSequence++;
                    mOwner.endRun(run, RunOutcome.STOPPED, mLastSequence);
                    continue;
                }
                if (run.phase() == RunPhase.RUNNING && mClockMs - run.startedMs() >= durationMs) {
                    mLastSequence++;
                    mOwner.endRun(run, RunOutcome.DONE, mLastSequence);
                    noteDone(run.task().step().job());
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
        mPlanner.applyList(infos, mClockMs);
        VmPlanner.VmDecisions decisions =
                mPlanner.decide(
                        mOwner.mConfig, List.of(), mOwner.mRegistry, true, mClockMs, wallMs());
        decisions.actions().forEach(this::carryOut);
    }

    private void carryOut(VmPlanner.Call call) {
        Vm vm = mVms.stream().filter(v -> v.mId.equals(call.vm().id())).findAny().orElseThrow();
        mPlanner.callAnswered(call, VmOutcome.DONE, mClockMs);
        mOwner.mScheduler
                .worker(vm.worker())
                .ifPresent(
                        w ->
                                mOwner.mScheduler.removeWorker(
                                        w, WorkerEndReason.MOVED_OR_REBOOTED, mOwner.mNowMs));
        vm.mPool = ((PlannedVmAction.Move) call.action()).pool();
        vm.mIncarnation++;
        vm.mUpMs = mClockMs + MOVE_MS;
        vm.mJoined = false;
    }

    /** Number of jobs that met their objectives. */
    long onTimeJobs() {
        return mJobs.values().stream().filter(this::isOnTime).count();
    }

    /** Number of a service's jobs that met their objectives. */
    long onTimeJobs(String service) {
        return mJobs.values().stream()
                .filter(o -> o.service().equals(service))
                .filter(this::isOnTime)
                .count();
    }

    private boolean isOnTime(JobDefinition definition) {
        long objective = definition.acceptedMs() + UrgencyOrder.objectiveLengthMs(definition);
        return mDoneMs.getOrDefault(definition.id(), Long.MAX_VALUE) <= objective;
    }

    int doneJobs() {
        return mDoneMs.size();
    }

    int totalJobs() {
        return mJobs.size();
    }
}
