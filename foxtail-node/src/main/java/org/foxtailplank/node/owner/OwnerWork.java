package org.foxtailplank.node.owner;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobsBegun;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.peer.OwnedJournal;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.VmActions.Holder;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.schedule.Decisions;
import org.foxtailplank.schedule.ListedLives;
import org.foxtailplank.schedule.Reach;
import org.foxtailplank.schedule.Scheduler;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/** The work of the owner of all jobs, from its take-over until it is fenced or stops. */
public final class OwnerWork implements OwnedJournal {
    /** How often time alone is looked at, in milliseconds. */
    private static final long TICK_MS = 40;

    /** Events within this time are decided on together, in milliseconds. */
    private static final long GATHER_MS = 4;

    /** How often the owner shows in the journal that it is alive, in milliseconds. */
    private static final long ALIVE_MS = 400;

    /** Pause before a read of the take-over is repeated, in milliseconds. */
    private static final long RETRY_MS = 150;

    private final OwnerParts mParts;
    private final Clock mClock;
    private final long mToken;
    private final TakeOver mTaken;
    private final OwnerLease mLease;
    private final Runnable mFenced;
    private final Scheduler mScheduler;
    private final OwnerJournal mJournal;
    private final OrderSender mSender;
    private final VmWork mVms;
    private final WorkerDirectory mDirectory;

    private Optional<List<VmInfo>> mFirstVms = Optional.empty();
    private boolean mJournalRead;
    private boolean mLoaded;
    private boolean mOver;
    private boolean mDecisionDue;
    private boolean mMayRenew = true;

    /** A new owner; {@code fenced} runs when a later owner has taken over. */
    public OwnerWork(OwnerParts parts, TakeOver taken, Runnable fenced) {
        mParts = parts;
        mClock = parts.clock();
        mToken = taken.token();
        mTaken = taken;
        mFenced = fenced;
        mLease = new OwnerLease(mClock, parts.settings().vmTokensChecked());
        mScheduler = new Scheduler(parts.settings().schedule());
        mJournal = new OwnerJournal(parts, mToken, () -> fenced("the journal"));
        mSender = new OrderSender(this, parts, mToken);
        mDirectory = new WorkerDirectory(this, parts, mToken);
        mVms = new VmWork(this, parts, new Holder(parts.settings().name(), mToken, mLease));
    }

    /**
     * Takes over: reads the journal, the directory and the list of VMs side by side, then looks at
     * every worker. The first sign of life is written before the reads: with a slow store they take
     * longer than other nodes are patient, and one owner after the other would be replaced before
     * its first order.
     */
    public void start() {
        mParts.log()
                .line("owner-start")
                .with("token", mToken)
                .with("predecessorOver", mTaken.predecessorOver())
                .with("renewalsOver", mTaken.renewalsOver())
                .write();
        mParts.reader().eager(true);
        mJournal.whenStored(mLease::proved);
        mJournal.raiseEpoch(
                () -> {
                    mLease.tookOver(mTaken.predecessorOver());
                    sayAlive();
                    readJournal();
                    listVms();
                });
        mDirectory.read(this::takeOverIfRead);
    }

    /** Listed only once the earlier owner can't write down starts on newer lives any more. */
    private void listVms() {
        mParts.platform()
                .vms()
                .list(
                        vms -> {
                            mFirstVms = Optional.of(vms.orElse(List.of()));
                            takeOverIfRead();
                        });
    }

    private void readJournal() {
        mParts.reader()
                .refresh(
                        read -> {
                            mJournalRead = read;
                            if (read) {
                                takeOverIfRead();
                            } else if (!mOver) {
                                mParts.timers().after(RETRY_MS, this::readJournal);
                            }
                        });
    }

    private void takeOverIfRead() {
        boolean read = mJournalRead && mDirectory.isRead() && mFirstVms.isPresent();
        if (read && !mLoaded && !mOver) {
            takeOver(mFirstVms.get());
        }
    }

    private void takeOver(List<VmInfo> vms) {
        mLoaded = true;
        mDirectory.takeFirst();
        // Without the whole list of VMs a worker that is not in the directory may still run tasks.
        ListedLives lives = new ListedLives(vms);
        long now = mClock.nowMs();
        if (!mTaken.renewalsOver()) {
            mScheduler.renewedByOthersUntil(now + RenewalWindow.WAIT_MS);
        }
        for (JobEntry job : mParts.reader().book().jobs()) {
            mScheduler.inherit(job, w -> isOver(w, lives), now);
        }
        mParts.log()
                .line("owner-loaded")
                .with("token", mToken)
                .with("workers", mScheduler.workers().size())
                .with(
                        "inheritedRuns",
                        mScheduler.workers().stream().mapToInt(w -> w.runs().size()).sum())
                .with("journal", mParts.reader().position())
                .write();
        mDirectory.follow();
        new LoadLog(this, mParts).start();
        mVms.start();
        new Restating(this, mParts).start();
        tick();
    }

    /**
     * Whether a life is surely over as this owner takes over. One that the directory names may have
     * joined a moment ago, before its VM is listed with it: it is left to later lists.
     */
    private boolean isOver(String worker, ListedLives lives) {
        boolean named = mScheduler.worker(worker).map(WorkerState::isListed).orElse(false);
        return !named && lives.isOver(worker);
    }

    /** Whether it owns and knows all that the journal told at its take-over. */
    public boolean isLoaded() {
        return mLoaded && !mOver;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    boolean isOver() {
        return mOver;
    }

    /** Whether a lease that is given now has its whole length. */
    boolean givesFullLeases() {
        return workerLeaseMs() == mParts.settings().schedule().leaseMs();
    }

    /** Length of a worker's lease that this owner may give now, in milliseconds; 0 for none. */
    long workerLeaseMs() {
        long left = mLease.workerLeaseMs(mParts.settings().schedule().leaseMs());
        boolean may = left > 0;
        if (may != mMayRenew) {
            mMayRenew = may;
            mParts.log().line("renewals").with("token", mToken).with("open", may).write();
        }
        return left;
    }

    /** Ends the looks at a worker whose life is over, and frees its tasks. */
    void workerOver(WorkerState worker, String why) {
        mDirectory.over(worker.id());
        List<TaskRun> ended = mScheduler.workerOver(worker.id());
        mParts.log()
                .line("worker-over")
                .with("worker", worker.id())
                .with("why", why)
                .with("runs", ended.size())
                .write();
        decisionDue();
    }

    /**
     * A worker was dropped. Its looks end in the same step: if one under way were answered later,
     * they would go on, renew its lease, and adopt runs whose stops nobody sends.
     */
    private void forget(WorkerState worker) {
        mDirectory.over(worker.id());
        mParts.log().line("worker-forgotten").with("worker", worker.id()).write();
    }

    /** A worker has refused this owner: a later one gives orders. */
    void fenced(String worker) {
        if (mOver) {
            return;
        }
        mParts.log().line("owner-fenced").with("token", mToken).with("by", worker).write();
        end();
        mJournal.end();
        mFenced.run();
    }

    /** Whether it gives no more orders, and none to the VM service is under way. */
    public boolean areCallsOver() {
        return mOver && !mVms.isCalling();
    }

    /** Stops giving orders. */
    public void end() {
        mOver = true;
        mParts.reader().eager(false);
    }

    /** Stores a record that another node has handed over. */
    public void handedOver(byte[] record, Consumer<StoreOutcome> then) {
        mJournal.storeHandedOver(record, then);
    }

    @Override
    public JournalPosition position() {
        return mParts.reader().position();
    }

    @Override
    public long completeMs() {
        return mParts.reader().completeMs();
    }

    @Override
    public long storedMsAgo() {
        return mJournal.storedMsAgo();
    }

    /** Gives the place up for another node; {@code left} runs when the journal says so. */
    public void leave(Runnable left) {
        end();
        String node = mParts.settings().name();
        mParts.log().line("owner-leaves").with("token", mToken).write();
        boolean callsOver = mLease.isOpen() && !mVms.isCalling();
        mJournal.leave(new OwnerLeft(mToken, node, callsOver), left);
    }

    /** The journal tells of something. */
    public void recorded(JournalRecord record, Optional<JobEntry> job) {
        if (!mLoaded || mOver) {
            return;
        }
        long now = mClock.nowMs();
        job.ifPresent(j -> mScheduler.job(j, now));
        if (record instanceof JobCancelled cancelled) {
            mScheduler.jobEnded(cancelled.job(), now);
        } else if (record instanceof RunsEnded ended) {
            for (EndedRun r : ended.runs()) {
                mScheduler.recorded(r.task(), r.outcome(), now);
            }
        }
        decisionDue();
    }

    /** The journal as this owner writes it. */
    OwnerJournal journal() {
        return mJournal;
    }

    /** Something happened that may change what to do. */
    void decisionDue() {
        if (!mDecisionDue && mLoaded && !mOver) {
            mDecisionDue = true;
            mParts.timers().after(GATHER_MS, this::decide);
        }
    }

    private void tick() {
        if (mOver) {
            return;
        }
        mParts.timers().after(TICK_MS, this::tick);
        if (Reach.isCutOff(mScheduler.workers(), mVms.answeredMs(), mClock.nowMs())) {
            mParts.log().line("owner-cut-off").with("token", mToken).write();
            leave(() -> {});
            mFenced.run();
            return;
        }
        decisionDue();
    }

    /** Decides without waiting for further events. */
    void decideNow() {
        decide();
    }

    private void decide() {
        mDecisionDue = false;
        if (mOver) {
            return;
        }
        long now = mClock.nowMs();
        for (TaskRun r : mScheduler.takeLapsed(now)) {
            mParts.log()
                    .line("run-lapsed")
                    .with("task", r.slot().name())
                    .with("attempt", r.attempt())
                    .with("worker", r.worker().id())
                    .with("listed", r.worker().isListed())
                    .with("renewedMsAgo", now - r.worker().grantedMs())
                    .with("ownedMs", mLease.ownedMs())
                    .write();
        }
        mScheduler.takeForgotten().forEach(this::forget);
        Optional<FleetConfig> config = mParts.operator().config();
        if (config.isPresent()) {
            Decisions decisions = mScheduler.decide(config.get(), now, mClock.wallMs());
            mSender.send(decisions);
        }
        List<String> begun = mScheduler.takeBegun();
        if (!begun.isEmpty()) {
            mJournal.store(new JobsBegun(begun), () -> {});
        }
    }

    private void sayAlive() {
        if (mOver) {
            return;
        }
        String address = mParts.settings().peerAddress();
        mJournal.store(new OwnerAlive(mToken, address, mLease.ownedMs()), () -> {});
        mParts.timers().after(ALIVE_MS, this::sayAlive);
    }
}
