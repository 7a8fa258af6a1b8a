package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.admission.TypicalObjectives;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.admission.CapacitySource;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.peer.JournalStatus;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.VmClient.Holder;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.foxtailplank.schedule.ActiveTask;
import org.foxtailplank.schedule.Decisions;
import org.foxtailplank.schedule.OwnerReachability;
import org.foxtailplank.schedule.Scheduler;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.UnstoredJob;
import org.foxtailplank.schedule.WorkerEnd;
import org.foxtailplank.schedule.WorkerEndReason;
import org.foxtailplank.schedule.WorkerState;

/** Work of the owner of all jobs, from its takeover until it is fenced or stops. */
public final class OwnerSession implements JournalStatus {
    /** How often to decide when no event occurs, in milliseconds. */
    private static final long TICK_INTERVAL_MS = 40;

    /** Delay that collects events into one decision, in milliseconds. */
    private static final long DECISION_DELAY_MS = 4;

    /** How often the owner writes a heartbeat to the journal, in milliseconds. */
    private static final long HEARTBEAT_INTERVAL_MS = 400;

    /** Delay before a failed journal read of the takeover is retried, in milliseconds. */
    private static final long READ_RETRY_DELAY_MS = 150;

    private final OwnerContext mContext;
    private final Clock mClock;
    private final long mToken;
    private final Takeover mTakeover;
    private final OwnerLease mLease;
    private final Runnable mOnFenced;
    private final Scheduler mScheduler;
    private final OwnerJournal mJournal;
    private final CommandSender mSender;
    private final CrashLogger mCrashLogger;
    private final RunLogger mRunLogger;
    private final VmCoordinator mVmCoordinator;
    private final WorkerDirectoryFollower mDirectory;
    private final TakeoverVmLists mInitialVms;

    private boolean mJournalRead;
    private boolean mLoaded;
    private boolean mEnded;
    private boolean mDecisionScheduled;
    private boolean mRenewalsAllowed = true;
    private boolean mStoreAvailable = true;

    /** Creates a new owner; {@code onFenced} runs when a later owner has taken over. */
    public OwnerSession(OwnerContext context, Takeover takeover, Runnable onFenced) {
        mContext = context;
        mClock = context.clock();
        mToken = takeover.token();
        mTakeover = takeover;
        mOnFenced = onFenced;
        mLease = new OwnerLease(mClock, context.settings().vmTokensChecked());
        mScheduler = new Scheduler(context.settings().schedule());
        mJournal = new OwnerJournal(context, mToken, () -> handleFenced("the journal"));
        mSender = new CommandSender(this, context, mToken);
        mCrashLogger = new CrashLogger(context);
        mRunLogger = new RunLogger(context);
        mDirectory = new WorkerDirectoryFollower(this, context, mToken);
        mInitialVms = new TakeoverVmLists(context.platform().vms());
        mVmCoordinator =
                new VmCoordinator(
                        this, context, new Holder(context.settings().name(), mToken, mLease));
    }

    /**
     * Takes over: raises the epoch, reads the journal, the worker directory and the VM lists
     * concurrently, then polls every worker.
     *
     * <p>The first heartbeat is written before the reads, which on a slow store take longer than
     * other nodes' timeouts; otherwise owners would replace each other before the first command.
     */
    public void start() {
        mContext.log()
                .line("owner-start")
                .with("token", mToken)
                .with("predecessorOver", mTakeover.predecessorCallsFinished())
                .with("renewalsOver", mTakeover.renewalsFinished())
                .write();
        mContext.reader().setLongPolling(true);
        mJournal.setStoredListener(mLease::appendStored);
        mJournal.raiseEpoch(
                () -> {
                    mLease.epochRaised(mTakeover.predecessorCallsFinished());
                    writeHeartbeat();
                    readJournal();
                    mDirectory.readInitial(this::takeOverIfReady);
                    mInitialVms.read(this::takeOverIfReady);
                });
    }

    private void readJournal() {
        mContext.reader()
                .refresh(
                        read -> {
                            mJournalRead = read;
                            if (read) {
                                takeOverIfReady();
                            } else if (!mEnded) {
                                mContext.timers().after(READ_RETRY_DELAY_MS, this::readJournal);
                            }
                        });
    }

    private void takeOverIfReady() {
        boolean ready = mJournalRead && mDirectory.isInitialRead() && mInitialVms.isRead();
        if (ready && !mLoaded && !mEnded) {
            takeOver();
        }
    }

    private void takeOver() {
        mLoaded = true;
        mDirectory.applyInitial();
        long now = mClock.nowMs();
        if (!mTakeover.renewalsFinished()) {
            mScheduler.renewedByOthersUntil(now + RenewalWindow.TAKEOVER_WAIT_MS);
        }
        mContext.operator().config().ifPresent(c -> mScheduler.setOrganisations(c.organisations()));
        for (JobProgress job : mContext.reader().registry().jobs()) {
            mScheduler.addInheritedJob(job, this::hasIncarnationEnded, now);
            mScheduler.addInheritedEndedJob(job, this::hasIncarnationEnded, now, mClock.wallMs());
        }
        int arrivals = mVmCoordinator.learnInheritedArrivals();
        mContext.log()
                .line("owner-loaded")
                .with("token", mToken)
                .with("workers", mScheduler.workers().size())
                .with(
                        "inheritedRuns",
                        mScheduler.workers().stream().mapToInt(w -> w.runs().size()).sum())
                .with("inheritedArrivals", arrivals)
                .with("journal", mContext.reader().position())
                .write();
        mRunLogger.logInherited(mScheduler.workers());
        mDirectory.follow();
        new LoadLogger(this, mContext).start();
        mVmCoordinator.start();
        new JournalCompactor(mContext, mJournal, this::hasEnded).start();
        tick();
    }

    /**
     * Whether a worker's incarnation has certainly ended at the takeover. One that the directory
     * names may have joined before its VM is listed with it, so it is left to later lists. Without
     * complete VM lists a worker that is not in the directory may still run tasks.
     */
    private boolean hasIncarnationEnded(WorkerIncarnation worker) {
        boolean listed =
                mScheduler.worker(worker.id()).map(w -> w.registration().isListed()).orElse(false);
        boolean named = listed || mDirectory.hasUnusableEntry(worker.id());
        return !named && mInitialVms.proveEnd(worker.id());
    }

    /** Whether this is still the owner and has applied the journal as of its takeover. */
    public boolean isLoaded() {
        return mLoaded && !mEnded;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    boolean hasEnded() {
        return mEnded;
    }

    /** Whether a lease granted now would have its full length. */
    boolean canGrantFullLease() {
        return workerLeaseMs() == mContext.settings().schedule().leaseMs();
    }

    /** Length of a worker lease that this owner may grant now, in milliseconds; 0 for none. */
    long workerLeaseMs() {
        long leaseMs = mLease.workerLeaseMs(mContext.settings().schedule().leaseMs());
        boolean allowed = leaseMs > 0;
        if (allowed != mRenewalsAllowed) {
            mRenewalsAllowed = allowed;
            mContext.log().line("renewals").with("token", mToken).with("open", allowed).write();
        }
        return leaseMs;
    }

    /** Adds the jobs that have ended of the runs that a worker lists. */
    void addListedEndedJobs(List<RunStatus> running) {
        for (RunStatus r : running) {
            mContext.reader()
                    .registry()
                    .job(r.task().job())
                    .ifPresent(mScheduler::addListedEndedJob);
        }
    }

    /** Stops polling a worker whose incarnation has ended, and releases its tasks. */
    void handleWorkerEnded(WorkerState worker, WorkerEndReason reason) {
        storeEndsWithWorker(endWorker(worker, reason, mClock.nowMs()).runs());
        scheduleDecision();
    }

    /**
     * Handles the answer of another incarnation to a command for a worker. Entries may name a wrong
     * address, so it proves the end of the worker's incarnation only at the address where that one
     * has answered this owner. If it has never answered, the VM lists of the takeover must lack it.
     *
     * @return whether the worker's incarnation has ended
     */
    boolean handleOtherIncarnation(WorkerState worker, String address) {
        Optional<String> answeredAt = mDirectory.answeredAt(worker);
        boolean hasEnded =
                answeredAt.map(address::equals).orElseGet(() -> mInitialVms.proveEnd(worker.id()));
        if (!hasEnded) {
            return false;
        }
        handleWorkerEnded(worker, WorkerEndReason.OTHER_INCARNATION);
        return true;
    }

    private WorkerEnd endWorker(WorkerState worker, WorkerEndReason reason, long now) {
        mDirectory.stopPolling(worker);
        WorkerEnd end = mScheduler.removeWorker(worker, reason, now);
        mCrashLogger.logWorkerEnd(worker, reason, end, now);
        return end;
    }

    private void storeEndsWithWorker(List<TaskRun> runs) {
        if (!runs.isEmpty()) {
            List<StartedRun> records = runs.stream().map(TaskRun::endRecord).toList();
            mJournal.store(new RunsEndedWithWorker(records), () -> {});
        }
    }

    /** Replaces a worker's incarnation by the next one, whose first answer this is. */
    void handleWorkerStartedAgain(
            WorkerState former, PollResponse response, String address, long sentMs) {
        long now = mClock.nowMs();
        WorkerEnd end = endWorker(former, WorkerEndReason.STARTED_AGAIN, now);
        WorkerState next = mScheduler.addNextIncarnation(former, response.startMs(), now);
        WorkerPoller poller = mDirectory.addPoller(next);
        poller.applyAnswer(response, address, sentMs);
        storeEndsWithWorker(mScheduler.stopFormerRuns(next, end.runs(), response, now));
        mScheduler.lateStarts(next, now).forEach(poller::stopOrphan);
        scheduleDecision();
    }

    /** Stores that jobs failed because a task of theirs crashes its workers. */
    private void storeGivenUpJobs() {
        for (ActiveTask t : mScheduler.takeGivenUp()) {
            mCrashLogger.logGivenUp(t);
            mJournal.store(new JobGivenUp(t.name().job(), mClock.wallMs()), () -> {});
        }
    }

    /**
     * Stores ends that a worker has listed. Once this owner has ended, they are forwarded: the next
     * owner may not reach the worker, and would start the tasks again.
     */
    void storeEnds(List<RunEnd> ends, Runnable stored) {
        List<EndedRun> runs = new ArrayList<>();
        for (RunEnd e : ends) {
            runs.add(new EndedRun(e.task(), e.attempt(), e.outcome(), mClock.wallMs()));
        }
        RunsEnded record = new RunsEnded(runs);
        if (mEnded) {
            mContext.recordForwarder().accept(record);
        } else {
            mJournal.store(record, stored, () -> mContext.recordForwarder().accept(record));
        }
    }

    /**
     * Stops polling a dropped worker in the same step. A poll still in flight would continue the
     * polling, renew the lease, and adopt runs to which no stop is ever sent.
     */
    private void handleWorkerDropped(WorkerState worker) {
        mDirectory.stopPolling(worker);
        mContext.log().line("worker-forgotten").with("worker", worker.id()).write();
    }

    /** Ends this owner's work: a worker or VM call was rejected because a later owner exists. */
    void handleFenced(String rejectedBy) {
        if (mEnded) {
            return;
        }
        mContext.log().line("owner-fenced").with("token", mToken).with("by", rejectedBy).write();
        end();
        mJournal.close();
        mOnFenced.run();
    }

    /** Whether this owner has ended and has no call to the VM service in flight. */
    public boolean areVmCallsFinished() {
        return mEnded && !mVmCoordinator.hasCallsInFlight();
    }

    /** Stops deciding and sending commands. */
    public void end() {
        mEnded = true;
        mRunLogger.logDropped(mScheduler.takeDropped());
        mContext.reader().setLongPolling(false);
    }

    /** Stores a record handed over by another node, which may be of an earlier version. */
    public void storeHandedOver(byte[] record, Consumer<StoreOutcome> callback) {
        mJournal.storeHandedOver(JournalCodec.withKey(record), callback);
    }

    /** Records that a node rejected a submission whose caller is expected to come back. */
    public void jobUnstored(UnstoredJob job) {
        if (isLoaded()) {
            mScheduler.jobUnstored(job, mClock.nowMs());
        }
    }

    @Override
    public JournalPosition position() {
        return mContext.reader().position();
    }

    @Override
    public long completeMs() {
        return mContext.reader().completeMs();
    }

    @Override
    public long storedMsAgo() {
        return mJournal.storedMsAgo();
    }

    /** Resigns ownership; {@code onResigned} runs when the journal has the owner's last record. */
    public void resign(Runnable onResigned) {
        end();
        String node = mContext.settings().name();
        mContext.log().line("owner-leaves").with("token", mToken).write();
        boolean callsFinished =
                mLease.arePredecessorCallsFinished() && !mVmCoordinator.hasCallsInFlight();
        mJournal.storeLast(new OwnerResigned(mToken, node, callsFinished), onResigned);
    }

    /** Applies a record read from the journal. */
    public void applyRecord(JournalRecord record, Optional<JobProgress> job) {
        if (!mLoaded || mEnded) {
            return;
        }
        long now = mClock.nowMs();
        job.ifPresent(j -> mScheduler.addJob(j, now));
        if (record instanceof JobCancelled cancelled) {
            mScheduler.jobEnded(cancelled.job(), now);
        } else if (record instanceof UnknownJobsCancelled cancelled) {
            cancelled.ids().forEach(i -> endIfCancelled(i.job(), now));
        } else if (record instanceof JobGivenUp givenUp) {
            mScheduler.jobEnded(givenUp.job(), now);
        } else if (record instanceof RunsEnded ended) {
            for (EndedRun r : ended.runs()) {
                mScheduler.runEndRecorded(r.task(), r.outcome(), now);
            }
        }
        scheduleDecision();
    }

    /** Ends a job unless the caller that cancelled its ID may not cancel this job. */
    private void endIfCancelled(String id, long now) {
        boolean cancelled =
                mContext.reader()
                        .registry()
                        .job(id)
                        .map(j -> j.phase() == JobPhase.CANCELLED)
                        .orElse(false);
        if (cancelled) {
            mScheduler.jobEnded(id, now);
        }
    }

    /** Returns the source of capacity reports; admission may be switched while the owner works. */
    public CapacitySource capacities(
            Supplier<AdmissionSettings> settings, TypicalObjectives objectives) {
        return new OwnerCapacity(
                this, mContext, mVmCoordinator.capacitySnapshots(), settings, objectives);
    }

    OwnerJournal journal() {
        return mJournal;
    }

    /** Schedules a decision after an event that may change it. */
    void scheduleDecision() {
        if (!mDecisionScheduled && mLoaded && !mEnded) {
            mDecisionScheduled = true;
            mContext.timers().after(DECISION_DELAY_MS, this::decide);
        }
    }

    private void tick() {
        if (mEnded) {
            return;
        }
        mContext.timers().after(TICK_INTERVAL_MS, this::tick);
        if (OwnerReachability.isCutOff(
                mScheduler.workers(), mVmCoordinator.lastAnswerMs(), mClock.nowMs())) {
            mContext.log().line("owner-cut-off").with("token", mToken).write();
            resign(() -> {});
            mOnFenced.run();
            return;
        }
        scheduleDecision();
    }

    /** Makes the decisions that are due and sends the commands. */
    void decide() {
        mDecisionScheduled = false;
        if (mEnded) {
            return;
        }
        long now = mClock.nowMs();
        for (TaskRun r : mScheduler.removeExpiredRuns(now)) {
            mRunLogger.logLapsed(r, mLease.ownedMs(), now);
        }
        mScheduler.removeStaleWorkers().forEach(this::handleWorkerDropped);
        updateStoreAvailable();
        Optional<FleetConfig> config = mContext.operator().config();
        if (config.isPresent()) {
            Decisions decisions = mScheduler.decide(config.get(), now, mClock.wallMs());
            mSender.send(decisions);
        }
        mRunLogger.logNotInherited(mScheduler.takeNotInherited());
        mRunLogger.logDropped(mScheduler.takeDropped());
        storeGivenUpJobs();
        List<String> begun = mScheduler.takeStartedJobs();
        if (!begun.isEmpty()) {
            mJournal.store(new JobsStarted(begun), () -> {});
        }
    }

    /** Holds starts back while the store takes no records. */
    private void updateStoreAvailable() {
        boolean available =
                Handover.canStore(mJournal.storedMsAgo(), mContext.reader().latencyMs());
        if (available != mStoreAvailable) {
            mStoreAvailable = available;
            mContext.log().line("starts").with("token", mToken).with("held", !available).write();
        }
        mScheduler.setStoreAvailable(available);
    }

    private void writeHeartbeat() {
        if (mEnded) {
            return;
        }
        String address = mContext.settings().peerAddress();
        mJournal.store(new OwnerHeartbeat(mToken, address, mLease.ownedMs()), () -> {});
        mContext.timers().after(HEARTBEAT_INTERVAL_MS, this::writeHeartbeat);
    }
}
