package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;

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

    private static final int ZONES = 3;

    /** Time from the request of a reboot until the VM is up, in milliseconds. */
    private static final long REBOOT_MS = 2000;

    /** Time between two polls of a worker, in milliseconds. */
    private static final long POLL_INTERVAL_MS = 500;

    /** Factor on the run time of a task outside the rack of its data. */
    private static final int REMOTE_FACTOR = 3;

    private static final double MS_PER_S = 1000;

    OwnerHarness mOwner = new OwnerHarness();
    VmPlanner mPlanner = new VmPlanner(mOwner.mScheduler);

    private final VmSize mSize;
    private final List<SimulatedVm> mVms = new ArrayList<>();
    private final Map<String, SimulatedJob> mJobs = new LinkedHashMap<>();
    private final long mStartMs = mOwner.mNowMs;
    private long mClockMs = mStartMs;
    private long mLastSequence;
    private long mPoolVmMs;
    private Optional<SimulatedAdmission> mAdmission = Optional.empty();
    private String mCutZone = "";
    private long mCutUntilMs;
    private int mMoves;
    private SimulatedOutage mOutage = SimulatedOutage.NONE;
    private final List<DueWave> mWaves = new ArrayList<>();
    private final Map<RunKey, Long> mBegunMs = new HashMap<>();
    private final List<SimulatedJob> mWithoutOwner = new ArrayList<>();
    private long mOwnerFromMs;

    /** One run of a task, whichever owner knows it. */
    private record RunKey(TaskName task, int attempt) {
        static RunKey of(TaskRun run) {
            return new RunKey(run.task().name(), run.attempt());
        }
    }

    /**
     * Size of all VMs.
     *
     * @param vmsPerRack VMs that share a rack
     */
    record VmSize(Resources capacity, int vmsPerRack) {
        static final VmSize CORES_32 = new VmSize(Resources.of(32, 1L << 40, 0), 1 << 20);

        String rack(int vm) {
            return "r" + vm / vmsPerRack;
        }
    }

    FleetSimulation() {
        this(VmSize.CORES_32);
    }

    FleetSimulation(VmSize size) {
        mSize = size;
    }

    /** Adds VMs to a pool. */
    void addVms(String pool, int count) {
        for (int i = 0; i < count; i++) {
            int number = mVms.size();
            String zone = "z" + number / mSize.vmsPerRack() % ZONES;
            SimulatedVm vm = new SimulatedVm("vm" + number, mSize.rack(number), zone, pool);
            mVms.add(vm);
            join(vm);
        }
    }

    private void join(SimulatedVm vm) {
        vm.mJoined = true;
        if (!mOwner.mConfig.isStandby(vm.mPool)) {
            mOwner.addWorker(vm.worker(), vm.mPool, mSize.capacity(), vm.mRack, vm.mZone);
        }
    }

    /** Adds a job whose tasks take their estimated time. */
    void addJob(String service, TaskStep... steps) {
        addJob(service, 1, steps);
    }

    /** Adds a job whose tasks take a multiple of their estimated time. */
    void addJob(String service, double slowdown, TaskStep... steps) {
        addJob(service, slowdown, Organisation.NONE, steps);
    }

    void addJob(String service, double slowdown, String organisation, TaskStep... steps) {
        double[] slowdowns = new double[steps.length];
        Arrays.fill(slowdowns, slowdown);
        addJob(service, new RunTimes(slowdowns, 0, 0), organisation, steps);
    }

    /** Adds a job whose tasks take these times. */
    void addJob(String service, RunTimes runTimes, String organisation, TaskStep... steps) {
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
                        organisation);
        SimulatedJob job = new SimulatedJob(definition, runTimes);
        mJobs.put(id, job);
        mAdmission.ifPresentOrElse(a -> a.submit(definition), () -> submit(job));
    }

    private void submit(SimulatedJob job) {
        if (!hasOwner()) {
            mWithoutOwner.add(job);
        } else if (isStoreDown()) {
            mOutage.rejected(job.mDefinition.id(), mClockMs);
            UnstoredJob.of(job.mDefinition, 0)
                    .ifPresent(u -> mOwner.mScheduler.jobUnstored(u, mClockMs));
        } else {
            mOwner.accept(acceptedNow(job.mDefinition));
        }
    }

    private JobDefinition acceptedNow(JobDefinition d) {
        return new JobDefinition(
                d.id(),
                d.route(),
                d.service(),
                d.text(),
                d.steps(),
                d.timetable(),
                d.policy(),
                wallMs(),
                d.configVersion(),
                d.organisation());
    }

    /**
     * Makes the store reject everything from now on: no job is accepted, no start is recorded, no
     * worker joins, and VMs may be moved only as long as the lease of the last append lasts.
     */
    void failStore(long ms) {
        mOutage = new SimulatedOutage(mClockMs, mClockMs + ms);
    }

    private boolean isStoreDown() {
        return mOutage.isDown(mClockMs);
    }

    /** Adds a wave over VMs of the fleet, which must be done after a time. */
    void addWave(List<String> vms, int maxConcurrent, long durationMs) {
        long number = mWaves.size() + 1;
        MaintenanceWave wave = new MaintenanceWave(number, vms, durationMs, maxConcurrent);
        mWaves.add(new DueWave(wave, mClockMs + durationMs));
    }

    /** IDs of the VMs in a pool. */
    List<String> vmsOf(String pool) {
        return mVms.stream().filter(v -> v.mPool.equals(pool)).map(v -> v.mId).toList();
    }

    /**
     * Ends the owner. Another one takes over after a time, and only then learns of the jobs that
     * are submitted meanwhile.
     */
    void replaceOwner(long ms) {
        mOwnerFromMs = mClockMs + ms;
    }

    private boolean hasOwner() {
        return mClockMs >= mOwnerFromMs;
    }

    /** Replaces the owner by one that has read the journal and polled no worker yet. */
    private void takeOver() {
        OwnerHarness former = mOwner;
        mOwner = new OwnerHarness(former.mRegistry);
        mOwner.mConfig = former.mConfig;
        mOwner.mNowMs = mClockMs;
        mPlanner = new VmPlanner(mOwner.mScheduler);
        for (SimulatedVm vm : mVms) {
            vm.mJoined = mClockMs >= vm.mUpMs + JOIN_MS;
            if (vm.mJoined && !mOwner.mConfig.isStandby(vm.mPool)) {
                mOwner.mScheduler.updateWorker(
                        OwnerHarness.info(
                                vm.worker(), vm.mPool, mSize.capacity(), vm.mRack, vm.mZone),
                        mClockMs);
            }
        }
        mOwner.mRegistry
                .jobs()
                .forEach(j -> mOwner.mScheduler.addInheritedJob(j, w -> false, mClockMs));
        mPlanner.learnInheritedArrivals(
                new ClockReading(mClockMs, wallMs()), mOwner.mRegistry.completeSinceMs(wallMs()));
    }

    /** Decides, and starts what can be recorded. */
    private void placeTasks() {
        mOwner.mScheduler.setStoreAvailable(!isStoreDown());
        if (isStoreDown()) {
            mOutage.unrecorded().addAll(mOwner.decide().planned());
            return;
        }
        if (!mOutage.unrecorded().isEmpty()) {
            mOwner.recordStarts(mOutage.unrecorded());
            mOutage.unrecorded().clear();
            Decisions decisions = mOwner.decide();
            mOwner.confirmStarts(decisions);
            mOwner.recordStarts(decisions.planned());
            mOwner.confirmStarts(mOwner.decide());
            return;
        }
        mOwner.placeTasks();
    }

    /** Lets submissions of jobs be decided on; without this all are accepted. */
    void setAdmission(SimulatedAdmission admission) {
        mAdmission = Optional.of(admission);
    }

    long wallMs() {
        return OwnerHarness.WALL_MS + mClockMs - mStartMs;
    }

    /** Simulated time since the start, in milliseconds. */
    long elapsedMs() {
        return mClockMs - mStartMs;
    }

    /** Cuts the workers of a zone off; their runs continue, and nobody learns of their ends. */
    void cutZone(String zone, long ms) {
        mCutZone = zone;
        mCutUntilMs = mClockMs + ms;
    }

    private boolean isCutOff(WorkerState worker) {
        return mClockMs < mCutUntilMs
                && worker.registration().zone().orElseThrow().equals(mCutZone);
    }

    /** Advances the simulation by one step. */
    void tick() {
        boolean hadOwner = hasOwner();
        mClockMs += STEP_MS;
        for (SimulatedVm vm : mVms) {
            mPoolVmMs += mOwner.mConfig.isStandby(vm.mPool) ? 0 : STEP_MS;
        }
        if (!hasOwner()) {
            return;
        }
        if (!hadOwner) {
            takeOver();
            moveVms();
            return;
        }
        mOwner.mNowMs = mClockMs;
        for (SimulatedVm vm : mVms) {
            if (!vm.mJoined && mClockMs >= vm.mUpMs + JOIN_MS && !isStoreDown()) {
                join(vm);
            }
        }
        mWithoutOwner.forEach(this::submit);
        mWithoutOwner.clear();
        updateRuns();
        mAdmission.ifPresent(SimulatedAdmission::tick);
        mOutage.returning(mClockMs).forEach(id -> submit(mJobs.get(id)));
        placeTasks();
        moveVms();
    }

    /** Advances the simulation. */
    void advance(long ms) {
        for (long elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
            tick();
        }
    }

    private void updateRuns() {
        int number = 0;
        for (WorkerState worker : List.copyOf(mOwner.mScheduler.workers())) {
            number++;
            boolean due = (mClockMs / STEP_MS + number) % (POLL_INTERVAL_MS / STEP_MS) == 0;
            if (isCutOff(worker)) {
                if (due) {
                    mOwner.mScheduler.pollFailed(worker, mClockMs);
                }
                continue;
            }
            if (worker.isUnresponsive() || !worker.hasClock()) {
                poll(worker);
            }
            for (TaskRun run : List.copyOf(worker.runs())) {
                endIfDue(run);
            }
            if (due && !worker.runs().isEmpty()) {
                poll(worker);
            }
        }
    }

    /** Polls a worker, which lists the progress of its runs. */
    private void poll(WorkerState worker) {
        List<RunStatus> running = new ArrayList<>();
        for (TaskRun run : worker.runs()) {
            if (run.phase() == RunPhase.RUNNING) {
                boolean standing = run.task().spec().mode().standing();
                double share = (mClockMs - begunMs(run)) / durationMs(run);
                double percent = standing ? RunStatus.READY_PERCENT : Math.min(99, 100 * share);
                running.add(new RunStatus(run.task().name(), run.attempt(), "", percent, 0));
            }
        }
        mOwner.pollListing(worker, running, List.of());
    }

    private void endIfDue(TaskRun run) {
        if (run.phase() == RunPhase.STOPPING) {
            mLastSequence++;
            mOwner.endRun(run, RunOutcome.STOPPED, mLastSequence);
            return;
        }
        boolean standing = run.task().spec().mode().standing();
        boolean due = mClockMs - begunMs(run) >= durationMs(run);
        if (!standing && run.phase() == RunPhase.RUNNING && due) {
            mLastSequence++;
            mOwner.endRun(run, RunOutcome.DONE, mLastSequence);
            noteDone(run.task().step().job());
        }
    }

    /** When a run began, also for an owner that has inherited it. */
    private long begunMs(TaskRun run) {
        return mBegunMs.computeIfAbsent(RunKey.of(run), k -> run.firstSeenMs());
    }

    private double durationMs(TaskRun run) {
        SimulatedJob job = mJobs.get(run.task().name().job());
        boolean remote = WorkerChooser.isRemote(run.task(), run.worker());
        return job.mRunTimes.ofTask(job.mDefinition, run.task().name())
                * (remote ? REMOTE_FACTOR : 1);
    }

    private void noteDone(ActiveJob job) {
        if (job.runs().get(0).isDone()) {
            mJobs.get(job.id()).markDone(wallMs());
        }
    }

    private void moveVms() {
        List<VmInfo> infos = new ArrayList<>();
        for (SimulatedVm vm : mVms) {
            boolean hasWorker = !mOwner.mConfig.isStandby(vm.mPool);
            infos.add(vm.info(hasWorker, mSize.capacity(), mClockMs));
        }
        mPlanner.applyList(infos, mClockMs);
        VmPlanner.VmDecisions decisions =
                mPlanner.decide(
                        mOwner.mConfig,
                        mWaves,
                        mOwner.mRegistry,
                        mOutage.areCallsAllowed(mClockMs),
                        mClockMs,
                        wallMs());
        decisions.actions().forEach(this::carryOut);
    }

    private void carryOut(VmPlanner.Call call) {
        SimulatedVm vm =
                mVms.stream().filter(v -> v.mId.equals(call.vm().id())).findAny().orElseThrow();
        mPlanner.callAnswered(call, VmOutcome.DONE, mClockMs);
        mOwner.mScheduler
                .worker(vm.worker())
                .ifPresent(
                        w ->
                                mOwner.mScheduler.removeWorker(
                                        w, WorkerEndReason.MOVED_OR_REBOOTED, mOwner.mNowMs));
        vm.mIncarnation++;
        vm.mJoined = false;
        vm.mRebooting = call.action() instanceof PlannedVmAction.Reboot;
        if (call.action() instanceof PlannedVmAction.Reboot reboot) {
            mOwner.mRegistry.apply(new VmRebooted(reboot.wave(), vm.mId));
            vm.mUpMs = mClockMs + REBOOT_MS;
        } else {
            vm.mPool = ((PlannedVmAction.Move) call.action()).pool();
            vm.mUpMs = mClockMs + MOVE_MS;
            mMoves++;
        }
    }

    /** Number of jobs that met their objectives. */
    long onTimeJobs() {
        return onTimeJobs(d -> true);
    }

    /** Number of jobs among those selected that met their objectives. */
    long onTimeJobs(Predicate<JobDefinition> filter) {
        return mJobs.values().stream()
                .filter(j -> filter.test(j.mDefinition))
                .filter(SimulatedJob::isOnTime)
                .count();
    }

    int doneJobs() {
        return (int) mJobs.values().stream().filter(SimulatedJob::isDone).count();
    }

    int totalJobs() {
        return mJobs.size();
    }

    /** Number of jobs among those selected. */
    long totalJobs(Predicate<JobDefinition> filter) {
        return mJobs.values().stream().filter(j -> filter.test(j.mDefinition)).count();
    }

    /**
     * Share of the benefit of all batch jobs that was earned. A job's benefit grows with its work,
     * and a job that is late by up to three times its objective earns a fifteenth of it.
     */
    double earnedShare() {
        double earned = 0;
        double all = 0;
        for (SimulatedJob job : mJobs.values()) {
            if (job.mDefinition.isStanding()) {
                continue;
            }
            all += job.work();
            earned += job.earned();
        }
        return earned / all;
    }

    /** All jobs so far. */
    Collection<SimulatedJob> jobs() {
        return mJobs.values();
    }

    SimulatedJob job(String id) {
        return mJobs.get(id);
    }

    /** Time that VMs spent in pools, in seconds. */
    double poolVmSeconds() {
        return mPoolVmMs / MS_PER_S;
    }

    /** Number of moves of VMs. */
    int moves() {
        return mMoves;
    }
}
