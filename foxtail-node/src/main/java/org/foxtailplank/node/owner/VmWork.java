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
import org.foxtailplank.node.Clock;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmActions.Holder;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmOutcome;
import org.foxtailplank.port.WaveOrder;
import org.foxtailplank.schedule.DueWave;
import org.foxtailplank.schedule.VmAction;
import org.foxtailplank.schedule.VmPlanner;
import org.foxtailplank.schedule.VmPlanner.Call;
import org.foxtailplank.schedule.WorkerState;

/** Carries out what is decided about VMs: lists, moves, reboots, and says how waves go. */
final class VmWork {
    /** How often VMs are listed, in milliseconds; an action takes about two seconds. */
    private static final long LIST_MS = 400;

    /** How often the state of waves is logged, in milliseconds. */
    private static final long WAVE_LINE_MS = 2000;

    /** How often to decide, in milliseconds. */
    private static final long DECIDE_MS = 100;

    private final OwnerWork mOwner;
    private final OwnerParts mParts;
    private final Clock mClock;
    private final Holder mHolder;
    private final VmPlanner mPlanner;
    private final Map<String, VmInfo> mLast = new HashMap<>();
    private final Set<Long> mRunning = new HashSet<>();
    private final Set<Long> mWritten = new HashSet<>();
    private final WaveTimes mTimes;
    private long mAnsweredMs;
    private boolean mListed;
    private int mCalls;
    private boolean mMayCall = true;

    VmWork(OwnerWork owner, OwnerParts parts, Holder holder) {
        mOwner = owner;
        mParts = parts;
        mClock = parts.clock();
        mHolder = holder;
        mTimes = new WaveTimes(parts.reader().book());
        mPlanner = new VmPlanner(owner.scheduler());
        mAnsweredMs = mClock.nowMs();
    }

    /** Whether a call of this owner's is under way. */
    boolean isCalling() {
        return mCalls > 0;
    }

    /** When the VM service last answered. */
    long answeredMs() {
        return mAnsweredMs;
    }

    void start() {
        sayWaves();
        list();
        decide();
    }

    /** A line a wave every two seconds: what keeps its VMs from their reboots. */
    private void sayWaves() {
        if (mOwner.isOver()) {
            return;
        }
        mParts.timers().after(WAVE_LINE_MS, this::sayWaves);
        long now = mClock.nowMs();
        for (DueWave wave : dueWaves()) {
            if (!mParts.reader().book().isCompleted(wave.order().number())) {
                mParts.log()
                        .line("wave")
                        .with("wave", wave.order().number())
                        .with("dueInMs", wave.dueMs() - now)
                        .with("atOnce", wave.order().atOnce())
                        .with("left", mPlanner.left(wave.order(), mParts.reader().book(), now))
                        .write();
            }
        }
    }

    private void list() {
        if (mOwner.isOver()) {
            return;
        }
        long asked = mClock.nowMs();
        mParts.platform()
                .vms()
                .list(
                        vms -> {
                            if (vms.isPresent()) {
                                mAnsweredMs = mClock.nowMs();
                            }
                            vms.ifPresent(v -> listed(v, asked));
                            mParts.timers().after(LIST_MS, this::list);
                        });
    }

    private void listed(List<VmInfo> vms, long askedMs) {
        mListed = true;
        vms.forEach(this::logChange);
        for (WorkerState w : mPlanner.overLives(vms, askedMs)) {
            mOwner.workerOver(w, "its VM has no such life");
        }
        mPlanner.listed(vms, askedMs);
    }

    private void logChange(VmInfo vm) {
        VmInfo before = mLast.put(vm.id(), vm);
        if (!vm.isReadable() && !vm.equals(before)) {
            mParts.log().line("vm-unreadable").with("vm", vm.id()).write();
            return;
        }
        if (before != null && !before.equals(vm)) {
            mParts.log()
                    .line("vm")
                    .with("vm", vm.id())
                    .with("pool", vm.pool())
                    .with("phase", vm.phase())
                    .with("worker", vm.worker())
                    .with("workerBefore", before.worker())
                    .write();
        }
    }

    private void decide() {
        if (mOwner.isOver()) {
            return;
        }
        mParts.timers().after(DECIDE_MS, this::decide);
        Optional<FleetConfig> config = mParts.operator().config();
        if (!mListed || config.isEmpty()) {
            return;
        }
        List<DueWave> waves = dueWaves();
        waves.forEach(w -> running(w.order()));
        writeDown(waves);
        VmPlanner.VmDecisions decisions =
                mPlanner.decide(
                        config.get(),
                        waves,
                        mParts.reader().book(),
                        mayCall(),
                        mClock.nowMs(),
                        mClock.wallMs());
        decisions.actions().forEach(this::call);
        decisions.completed().forEach(this::completed);
        mOwner.decisionDue();
    }

    private List<DueWave> dueWaves() {
        return mTimes.due(mParts.operator().waves().values(), mClock.nowMs(), mClock.wallMs());
    }

    private void writeDown(List<DueWave> waves) {
        for (WaveDue due : mTimes.unwritten(waves, mClock.nowMs(), mClock.wallMs())) {
            if (mWritten.add(due.wave())) {
                mOwner.journal().store(due, () -> {});
            }
        }
    }

    /** Whether calls may be begun; while the lease allows none, VMs are chosen and emptied only. */
    private boolean mayCall() {
        long left = mHolder.permit().leftMs();
        boolean may = left > 0;
        if (may != mMayCall) {
            mMayCall = may;
            mParts.log().line("vm-calls").with("token", mHolder.token()).with("open", may).write();
        }
        return may;
    }

    private void call(Call call) {
        mCalls++;
        String vm = call.vm().id();
        if (call.action() instanceof VmAction.Move move) {
            mParts.platform().vms().move(vm, move.pool(), mHolder, o -> answered(call, o));
        } else {
            long wave = ((VmAction.Reboot) call.action()).wave();
            mParts.platform().vms().reboot(vm, wave, mHolder, o -> answered(call, o));
        }
    }

    private void answered(Call call, VmOutcome outcome) {
        mCalls--;
        mParts.log()
                .line("vm-action")
                .with("vm", call.vm().id())
                .with("action", call.action())
                .with("from", call.vm().info().pool())
                .with("outcome", outcome)
                .write();
        if (mOwner.isOver()) {
            return;
        }
        if (outcome == VmOutcome.FENCED) {
            mOwner.fenced(call.vm().id());
            return;
        }
        String worker = call.vm().info().worker();
        mPlanner.answered(call, outcome, mClock.nowMs());
        if (outcome == VmOutcome.DONE) {
            mOwner.scheduler()
                    .worker(worker)
                    .ifPresent(w -> mOwner.workerOver(w, "its VM was moved or rebooted"));
            rebooted(call);
        }
    }

    private void rebooted(Call call) {
        if (call.action() instanceof VmAction.Reboot reboot) {
            VmRebooted record = new VmRebooted(reboot.wave(), call.vm().id());
            mOwner.journal().store(record, () -> {});
        }
    }

    private void completed(long wave) {
        mParts.log().line("wave-completed").with("wave", wave).write();
        mParts.platform().waves().write(wave, true, r -> reported(wave, r));
    }

    private void reported(long wave, SharedLog.AppendResult result) {
        if (!(result instanceof SharedLog.Stored)) {
            mPlanner.notReported(wave);
            return;
        }
        mOwner.journal().store(new WaveCompleted(wave), () -> {});
    }

    /** Says that a wave is being worked on. */
    private void running(WaveOrder wave) {
        boolean completed = mParts.reader().book().isCompleted(wave.number());
        if (!completed && mRunning.add(wave.number())) {
            mParts.platform().waves().write(wave.number(), false, r -> {});
        }
    }
}
