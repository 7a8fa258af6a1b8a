package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.PollCommand;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.foxtailplank.port.WorkerClient.RunCommand;
import org.foxtailplank.port.WorkerClient.WorkerAddress;
import org.foxtailplank.schedule.PollResult;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/** Polls one worker: renews its lease, learns which runs have ended and acknowledges their ends. */
final class WorkerPoller {
    /** How long a poll waits for a run to end, in milliseconds; a third of a short lease. */
    private static final long POLL_WAIT_MS = 1000;

    /**
     * The same for a worker that runs serving and batch tasks, in milliseconds; the tail latency of
     * serving tasks is measured over half a second.
     */
    private static final long MIXED_POLL_WAIT_MS = 500;

    /** The same while a standing task is starting, in milliseconds; a wave may wait for it. */
    private static final long STARTING_POLL_WAIT_MS = 300;

    /** The same for an idle worker, in milliseconds; the longest wait that workers accept. */
    private static final long IDLE_POLL_WAIT_MS = 2000;

    /** Delay after a poll that was not answered, in milliseconds. */
    private static final long RETRY_DELAY_MS = 300;

    /**
     * Delay while reported ends can't be stored, in milliseconds: without it polls would return at
     * once and repeat in a tight loop.
     */
    private static final long UNSTORED_POLL_DELAY_MS = 400;

    private final OwnerSession mOwner;
    private final OwnerContext mContext;
    private final WorkerState mWorker;
    private final long mToken;
    private boolean mStopped;
    private int mPollNumber;
    private int mLastReportedPoll;

    private Optional<String> mAnsweredAt = Optional.empty();

    WorkerPoller(OwnerSession owner, OwnerContext context, WorkerState worker, long token) {
        mOwner = owner;
        mContext = context;
        mWorker = worker;
        mToken = token;
    }

    void poll() {
        mPollNumber++;
        if (mOwner.hasEnded() || mStopped) {
            return;
        }
        long now = mContext.clock().nowMs();
        long leaseUntil = mWorker.renewLease(now, mOwner.workerLeaseMs());
        long acknowledged = acknowledgedEnds();
        mWorker.recordPoll();
        boolean canWait =
                mWorker.hasClock() && !mWorker.isUnresponsive() && !mWorker.hasUnstoredEnds();
        long waitMs = mWorker.runs().isEmpty() ? IDLE_POLL_WAIT_MS : POLL_WAIT_MS;
        waitMs = mWorker.isMixed() ? MIXED_POLL_WAIT_MS : waitMs;
        waitMs = mWorker.hasStartingStandingRun() ? STARTING_POLL_WAIT_MS : waitMs;
        PollCommand command =
                new PollCommand(mToken, acknowledged, leaseUntil, canWait ? waitMs : 0);
        mContext.metrics().counter("looks").inc();
        int number = mPollNumber;
        WorkerAddress to = mWorker.address();
        mContext.platform()
                .workerClient()
                .poll(to, command, a -> handleAnswer(a, to.address(), number, now));
    }

    /** Address at which the incarnation has last answered a poll. */
    Optional<String> answeredAt() {
        return mAnsweredAt;
    }

    /**
     * Returns the number up to which ends are acknowledged: none while the worker may have started
     * again, since its numbers start anew and it would discard ends that nobody has read.
     */
    private long acknowledgedEnds() {
        boolean verified = mWorker.isPolled() && mWorker.hasAnsweredLastPoll();
        return verified ? mWorker.storedEnds() : 0;
    }

    /**
     * Handles the answer to a poll, its timeout, or the answer that arrives after its timeout. The
     * polls that follow a timeout go on independently of a late answer.
     */
    private void handleAnswer(PollResponse response, String address, int number, long sentMs) {
        if (mStopped || mOwner.hasEnded()) {
            storeUnseenEnds(response);
            return;
        }
        boolean late = number <= mLastReportedPoll;
        mLastReportedPoll = Math.max(mLastReportedPoll, number);
        switch (response.outcome()) {
            case DONE -> applyAnswer(response, address, sentMs, late);
            case FENCED -> mOwner.handleFenced(mWorker.id());
            default -> {
                boolean other = response.outcome() == CommandOutcome.OTHER_LIFE;
                boolean ended = other && mOwner.handleOtherIncarnation(mWorker, address);
                if (!ended && !late) {
                    handleFailure(response.outcome());
                }
            }
        }
    }

    /**
     * Stores the ends in an answer that arrives after the polling has ended. They count at once: an
     * owner whose link is full reads its own records late, and would start the tasks again.
     */
    private void storeUnseenEnds(PollResponse response) {
        boolean sameNumbers = response.startMs() == mWorker.incarnation().startMs();
        long seen = sameNumbers ? mWorker.seenEnds() : 0;
        List<RunEnd> unseen = new ArrayList<>();
        for (RunEnd e : response.ended()) {
            if (e.sequence() > seen && e.outcome().counts()) {
                unseen.add(e);
            }
        }
        if (unseen.isEmpty()) {
            return;
        }
        long now = mContext.clock().nowMs();
        for (RunEnd e : unseen) {
            mOwner.scheduler().runEndRecorded(e.task(), e.outcome(), now);
        }
        mOwner.storeEnds(unseen, () -> {});
    }

    private void handleFailure(CommandOutcome outcome) {
        if (!mWorker.isUnresponsive()) {
            mContext.log()
                    .line("worker-silent")
                    .with("worker", mWorker.id())
                    .with("outcome", outcome)
                    .with("runs", mWorker.runs().size())
                    .write();
        }
        mOwner.scheduler().pollFailed(mWorker, mContext.clock().nowMs());
        scheduleNextPoll(RETRY_DELAY_MS);
    }

    private void applyAnswer(PollResponse response, String address, long sentMs, boolean late) {
        switch (mOwner.scheduler().identify(mWorker, response, sentMs)) {
            case NEXT -> mOwner.handleWorkerStartedAgain(mWorker, response, address, sentMs);
            case CURRENT -> {
                if (late) {
                    applyLateAnswer(response, address, sentMs);
                } else {
                    applyAnswer(response, address, sentMs);
                }
            }
            case FORMER, UNKNOWN -> {
                if (!late) {
                    handleFailure(CommandOutcome.UNANSWERED);
                }
            }
            default -> throw new IllegalStateException("unexpected source of an answer");
        }
    }

    private void logIfOutdated(PollResponse response) {
        if (mWorker.isOutdated(response.clockMs())) {
            mContext.log()
                    .line("poll-outdated")
                    .with("worker", mWorker.id())
                    .with("clockMs", response.clockMs())
                    .with("runs", mWorker.runs().size())
                    .write();
        }
    }

    /** Applies an answer of the worker's incarnation. */
    void applyAnswer(PollResponse response, String address, long sentMs) {
        mAnsweredAt = Optional.of(address);
        logIfOutdated(response);
        if (mWorker.isUnresponsive()) {
            mContext.log().line("worker-back").with("worker", mWorker.id()).write();
        }
        mOwner.addListedEndedJobs(response.running());
        long now = mContext.clock().nowMs();
        PollResult result = mOwner.scheduler().pollAnswered(mWorker, response, sentMs, now);
        handleEffects(result);
        if (result.toStore().isEmpty()) {
            scheduleNextPoll(mWorker.hasUnstoredEnds() ? UNSTORED_POLL_DELAY_MS : 0);
            return;
        }
        int pollNumber = mPollNumber;
        mOwner.storeEnds(result.toStore(), () -> handleEndsStored(pollNumber));
        // The lease must be renewed even while the store is unavailable.
        scheduleNextPoll(UNSTORED_POLL_DELAY_MS);
    }

    private void applyLateAnswer(PollResponse response, String address, long sentMs) {
        mAnsweredAt = Optional.of(address);
        logIfOutdated(response);
        mOwner.addListedEndedJobs(response.running());
        long now = mContext.clock().nowMs();
        PollResult result = mOwner.scheduler().pollAnsweredLate(mWorker, response, sentMs, now);
        mContext.metrics().latency("latePoll").update(now - sentMs);
        mContext.log()
                .line("poll-late")
                .with("worker", mWorker.id())
                .with("tookMs", now - sentMs)
                .with("ended", result.toStore().size())
                .write();
        handleEffects(result);
        if (!result.toStore().isEmpty()) {
            mOwner.storeEnds(result.toStore(), mWorker::endStore);
        }
    }

    private void handleEffects(PollResult result) {
        logEffects(result);
        result.orphans().forEach(this::stopOrphan);
        mOwner.scheduleDecision();
    }

    private void handleEndsStored(int pollNumber) {
        mWorker.endStore();
        if (pollNumber == mPollNumber) {
            poll();
        }
    }

    /** Stops polling; the worker's incarnation has ended or it was dropped. */
    void stop() {
        mStopped = true;
    }

    private void scheduleNextPoll(long delayMs) {
        int pollNumber = mPollNumber;
        mContext.timers()
                .after(
                        delayMs,
                        () -> {
                            if (pollNumber == mPollNumber) {
                                poll();
                            }
                        });
    }

    void stopOrphan(RunStatus status) {
        mContext.log()
                .line("run-unwanted")
                .with("task", status.task())
                .with("worker", mWorker.id())
                .write();
        RunCommand command = new RunCommand(status.task(), status.attempt(), mToken);
        mContext.platform().workerClient().stop(mWorker.address(), command, a -> {});
    }

    private void logEffects(PollResult result) {
        for (RunEnd e : result.toStore()) {
            mContext.log()
                    .line("run-ended")
                    .with("task", e.task())
                    .with("attempt", e.attempt())
                    .with("worker", mWorker.id())
                    .with("outcome", e.outcome())
                    .write();
        }
        for (TaskRun r : result.lost()) {
            mContext.log()
                    .line("run-gone")
                    .with("task", r.task().name())
                    .with("attempt", r.attempt())
                    .with("worker", mWorker.id())
                    .with("phase", r.phase())
                    .write();
        }
    }
}
