package org.foxtailplank.node.owner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.node.Clock;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient.Holder;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;
import org.foxtailplank.schedule.BurstForecast;
import org.foxtailplank.schedule.CapacitySnapshots;
import org.foxtailplank.schedule.DueWave;
import org.foxtailplank.schedule.PlannedVmAction;
import org.foxtailplank.schedule.VmPlanner;
import org.foxtailplank.schedule.VmPlanner.Call;
import org.foxtailplank.schedule.WorkerEndReason;
import org.foxtailplank.schedule.WorkerState;

/** Lists VMs, moves and reboots them as planned, and reports the progress of waves. */
final class VmCoordinator {
    /** How often VMs are listed, in milliseconds; an action takes about two seconds. */
    private static final long LIST_INTERVAL_MS = 400;

    /** How often the state of waves is logged, in milliseconds. */
    private static final long WAVE_LOG_INTERVAL_MS = 2000;

    /** How often to decide, in milliseconds. */
    private static final long DECISION_INTERVAL_MS = 100;

    /** Time after a takeover in which callers that got no answer come back, in milliseconds. */
    private static final long DEMAND_WAIT_MS = 2000;

    private final OwnerSession mOwner;
    private final OwnerContext mContext;
    private final Clock mClock;
    private final Holder mHolder;
    private final VmPlanner mPlanner;
    private final Map<String, VmInfo> mLastListed = new HashMap<>();
    private final Set<Long> mReportedRunning = new HashSet<>();
    private final Set<Long> mDeadlinesWritten = new HashSet<>();
    private final WaveDeadlines mDeadlines;
    private final ForecastLogger mForecastLogger;
    private long mLastAnswerMs;
    private long mAppliedMs = Long.MIN_VALUE;
    private int mListNumber;
    private int mLastReportedList;
    private boolean mListed;
    private int mCallsInFlight;
    private boolean mCallsAllowed = true;

    VmCoordinator(OwnerSession owner, OwnerContext context, Holder holder) {
        mOwner = owner;
        mContext = context;
        mClock = context.clock();
        mHolder = holder;
        mDeadlines = new WaveDeadlines(context.reader().registry());
        mPlanner = new VmPlanner(owner.scheduler());
        mLastAnswerMs = mClock.nowMs();
        BurstForecast forecast = new BurstForecast();
        mForecastLogger = new ForecastLogger(context, forecast);
        if (context.settings().forecastBursts()) {
            mPlanner.setForecast(forecast);
        }
    }

    /** Returns the measurement of pools with the VMs on their way to them. */
    CapacitySnapshots capacitySnapshots() {
        return new CapacitySnapshots(mOwner.scheduler(), mPlanner);
    }

    /** Lets the forecast learn from the jobs of the journal; returns how many have counted. */
    int learnInheritedArrivals() {
        ClockReading now = mClock.moment();
        long sinceMs = mContext.reader().registry().completeSinceMs(now.wallMs());
        return mPlanner.learnInheritedArrivals(now, sinceMs);
    }

    /** Whether a call to the VM service is in flight. */
    boolean hasCallsInFlight() {
        return mCallsInFlight > 0;
    }

    /** When the VM service last answered, on the steady clock. */
    long lastAnswerMs() {
        return mLastAnswerMs;
    }

    void start() {
        mPlanner.waitForDemand(mClock.nowMs() + DEMAND_WAIT_MS);
        logWaves();
        list();
        decide();
    }

    /** Logs periodically what delays the VMs of each wave from being rebooted. */
    private void logWaves() {
        if (mOwner.hasEnded()) {
            return;
        }
        mContext.timers().after(WAVE_LOG_INTERVAL_MS, this::logWaves);
        long now = mClock.nowMs();
        for (DueWave wave : dueWaves()) {
            if (!mContext.reader().registry().isCompleted(wave.wave().number())) {
                mContext.log()
                        .line("wave")
                        .with("wave", wave.wave().number())
                        .with("dueInMs", wave.dueMs() - now)
                        .with("atOnce", wave.wave().maxConcurrent())
                        .with(
                                "left",
                                mPlanner.describeRemaining(
                                        wave.wave(), mContext.reader().registry(), now))
                        .write();
            }
        }
    }

    private void list() {
        if (mOwner.hasEnded()) {
            return;
        }
        long askedMs = mClock.nowMs();
        int number = ++mListNumber;
        mContext.platform()
                .vms()
                .listAcceptingLate(
                        vms -> {
                            vms.ifPresent(v -> handleAnswer(v, askedMs));
                            if (number > mLastReportedList) {
                                mLastReportedList = number;
                                mContext.timers().after(LIST_INTERVAL_MS, this::list);
                            }
                        });
    }

    /**
     * Handles a list, which may arrive after its timeout. One that was requested before another
     * arrived may be the older of the two, and would end incarnations that the other one names.
     */
    private void handleAnswer(List<VmInfo> vms, long askedMs) {
        mLastAnswerMs = mClock.nowMs();
        if (!mOwner.hasEnded() && askedMs >= mAppliedMs) {
            mAppliedMs = mLastAnswerMs;
            handleList(vms, askedMs);
        }
    }

    private void handleList(List<VmInfo> vms, long askedMs) {
        mListed = true;
        vms.forEach(this::logChange);
        mPlanner.executedCalls(vms, askedMs).forEach(c -> applyOutcome(c, VmOutcome.DONE));
        for (WorkerState w : mPlanner.endedIncarnations(vms, askedMs)) {
            mOwner.handleWorkerEnded(w, WorkerEndReason.NOT_LISTED);
        }
        mPlanner.applyList(vms, askedMs);
    }

    private void logChange(VmInfo vm) {
        VmInfo previous = mLastListed.put(vm.id(), vm);
        if (!vm.isReadable() && !vm.equals(previous)) {
            mContext.log().line("vm-unreadable").with("vm", vm.id()).write();
            return;
        }
        if (previous != null && !previous.equals(vm)) {
            mContext.log()
                    .line("vm")
                    .with("vm", vm.id())
                    .with("pool", vm.pool())
                    .with("phase", vm.phase())
                    .with("worker", vm.worker())
                    .with("workerBefore", previous.worker())
                    .write();
        }
    }

    private void decide() {
        if (mOwner.hasEnded()) {
            return;
        }
        mContext.timers().after(DECISION_INTERVAL_MS, this::decide);
        Optional<FleetConfig> config = mContext.operator().config();
        if (!mListed || config.isEmpty()) {
            return;
        }
        List<DueWave> waves = dueWaves();
        waves.forEach(w -> reportRunning(w.wave()));
        writeDeadlines(waves);
        VmPlanner.VmDecisions decisions =
                mPlanner.decide(
                        config.get(),
                        waves,
                        mContext.reader().registry(),
                        areCallsAllowed(),
                        mClock.nowMs(),
                        mClock.wallMs());
        mForecastLogger.write();
        decisions.actions().forEach(this::call);
        decisions.completed().forEach(this::reportCompleted);
        mOwner.scheduleDecision();
    }

    private List<DueWave> dueWaves() {
        return mDeadlines.withDeadlines(
                mContext.operator().waves().values(), mClock.nowMs(), mClock.wallMs());
    }

    private void writeDeadlines(List<DueWave> waves) {
        for (WaveDue due : mDeadlines.missingRecords(waves, mClock.nowMs(), mClock.wallMs())) {
            if (mDeadlinesWritten.add(due.wave())) {
                mOwner.journal().store(due, () -> {});
            }
        }
    }

    /**
     * Whether new calls are allowed. While the lease allows none, VMs are only selected and
     * drained.
     */
    private boolean areCallsAllowed() {
        long leftMs = mHolder.permit().leftMs();
        boolean allowed = leftMs > 0;
        if (allowed != mCallsAllowed) {
            mCallsAllowed = allowed;
            mContext.log()
                    .line("vm-calls")
                    .with("token", mHolder.token())
                    .with("open", allowed)
                    .write();
        }
        return allowed;
    }

    private void call(Call call) {
        mCallsInFlight++;
        String vm = call.vm().id();
        if (call.action() instanceof PlannedVmAction.Move move) {
            mContext.platform().vms().move(vm, move.pool(), mHolder, o -> handleOutcome(call, o));
        } else {
            long wave = ((PlannedVmAction.Reboot) call.action()).wave();
            mContext.platform().vms().reboot(vm, wave, mHolder, o -> handleOutcome(call, o));
        }
    }

    private void handleOutcome(Call call, VmOutcome outcome) {
        mCallsInFlight--;
        mContext.log()
                .line("vm-action")
                .with("vm", call.vm().id())
                .with("action", call.action())
                .with("from", call.vm().info().pool())
                .with("outcome", outcome)
                .write();
        if (mOwner.hasEnded()) {
            return;
        }
        if (outcome == VmOutcome.FENCED) {
            mOwner.handleFenced(call.vm().id());
            return;
        }
        // Nothing is pending if a list has shown before that the call was executed.
        if (call.vm().isCallPending()) {
            applyOutcome(call, outcome);
        }
    }

    /**
     * Applies the outcome of a call. The worker that it ended is the one at the first call: a
     * repeated call is answered in the same way while the next worker runs.
     */
    private void applyOutcome(Call call, VmOutcome outcome) {
        mPlanner.callAnswered(call, outcome, mClock.nowMs());
        if (outcome == VmOutcome.DONE) {
            mOwner.scheduler()
                    .worker(call.worker().id())
                    .filter(w -> w.incarnation().equals(call.worker()))
                    .ifPresent(w -> mOwner.handleWorkerEnded(w, WorkerEndReason.MOVED_OR_REBOOTED));
            recordReboot(call);
        }
    }

    private void recordReboot(Call call) {
        if (call.action() instanceof PlannedVmAction.Reboot reboot) {
            VmRebooted record = new VmRebooted(reboot.wave(), call.vm().id());
            mOwner.journal().store(record, () -> {});
        }
    }

    private void reportCompleted(long wave) {
        mContext.log().line("wave-completed").with("wave", wave).write();
        mContext.platform().waves().write(wave, true, r -> handleReportStored(wave, r));
    }

    private void handleReportStored(long wave, SharedLog.AppendResult result) {
        if (!(result instanceof SharedLog.Stored)) {
            mPlanner.retryReport(wave);
            return;
        }
        mOwner.journal().store(new WaveCompleted(wave), () -> {});
    }

    /** Reports once that a wave is in progress. */
    private void reportRunning(MaintenanceWave wave) {
        boolean completed = mContext.reader().registry().isCompleted(wave.number());
        if (!completed && mReportedRunning.add(wave.number())) {
            mContext.platform().waves().write(wave.number(), false, r -> {});
        }
    }
}
