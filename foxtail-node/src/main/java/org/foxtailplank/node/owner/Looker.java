package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunView;
import org.foxtailplank.port.OrderOutcome;
import org.foxtailplank.port.WorkerOrders.LookAnswer;
import org.foxtailplank.port.WorkerOrders.LookOrder;
import org.foxtailplank.port.WorkerOrders.RunOrder;
import org.foxtailplank.schedule.LookEffects;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/** Looks at one worker again and again: renews its lease, learns of ends, acknowledges them. */
final class Looker {
    /** How long a look waits for an end, in milliseconds; a third of a short lease. */
    private static final long WAIT_MS = 1000;

    /** The same where serving tasks may be disturbed: their tails cover half a second. */
    private static final long MIXED_WAIT_MS = 500;

    /** The same while a standing task is on its way to work: a wave may wait for it. */
    private static final long COMING_WAIT_MS = 300;

    /** How long a look at an idle worker waits, in milliseconds: the longest that there is. */
    private static final long IDLE_WAIT_MS = 2000;

    /** Pause after a look that went unanswered, in milliseconds. */
    private static final long RETRY_MS = 300;

    /** Pause between looks while ends can't be stored: they would return at once. */
    private static final long UNSTORED_MS = 400;

    private final OwnerWork mOwner;
    private final OwnerParts mParts;
    private final WorkerState mWorker;
    private final long mToken;
    private boolean mStopped;
    private int mTurn;

    Looker(OwnerWork owner, OwnerParts parts, WorkerState worker, long token) {
        mOwner = owner;
        mParts = parts;
        mWorker = worker;
        mToken = token;
    }

    void look() {
        mTurn++;
        if (mOwner.isOver() || mStopped) {
            return;
        }
        long now = mParts.clock().nowMs();
        long lease = mOwner.workerLeaseMs();
        long until = lease > 0 ? mWorker.leaseUntilMs(now, lease) : 0;
        boolean waits = until > 0 && !mWorker.isSilent() && !mWorker.hasUnstoredEnds();
        long wait = mWorker.runs().isEmpty() ? IDLE_WAIT_MS : WAIT_MS;
        wait = mWorker.isMixed() ? MIXED_WAIT_MS : wait;
        wait = mWorker.hasStandingToCome() ? COMING_WAIT_MS : wait;
        LookOrder order = new LookOrder(mToken, mWorker.storedEnds(), until, waits ? wait : 0);
        if (until > 0) {
            mWorker.granted(now);
        }
        mParts.metrics().counter("looks").inc();
        mParts.platform().orders().look(mWorker.address(), order, a -> answered(a, now));
    }

    private void answered(LookAnswer answer, long sentMs) {
        if (mOwner.isOver() || mStopped) {
            return;
        }
        switch (answer.outcome()) {
            case DONE -> seen(answer, sentMs);
            case FENCED -> mOwner.fenced(mWorker.id());
            case OTHER_LIFE -> {
                mStopped = true;
                mOwner.workerOver(mWorker, "another life answers");
            }
            default -> failed(answer.outcome());
        }
    }

    private void failed(OrderOutcome outcome) {
        if (!mWorker.isSilent()) {
            mParts.log()
                    .line("worker-silent")
                    .with("worker", mWorker.id())
                    .with("outcome", outcome)
                    .with("runs", mWorker.runs().size())
                    .write();
        }
        mOwner.scheduler().lookFailed(mWorker);
        again(RETRY_MS);
    }

    private void seen(LookAnswer answer, long sentMs) {
        long now = mParts.clock().nowMs();
        if (mWorker.isSilent()) {
            mParts.log().line("worker-back").with("worker", mWorker.id()).write();
        }
        LookEffects effects = mOwner.scheduler().looked(mWorker, answer, sentMs, now);
        log(effects);
        effects.orphans().forEach(this::stopOrphan);
        mOwner.decisionDue();
        if (effects.toStore().isEmpty()) {
            again(mWorker.hasUnstoredEnds() ? UNSTORED_MS : 0);
            return;
        }
        List<EndedRun> ends = new ArrayList<>();
        for (RunEnd e : effects.toStore()) {
            ends.add(new EndedRun(e.task(), e.attempt(), e.outcome(), mParts.clock().wallMs()));
        }
        int turn = mTurn;
        mOwner.journal().store(new RunsEnded(ends), () -> stored(turn));
        // While the store is away the lease has to be renewed all the same.
        again(UNSTORED_MS);
    }

    private void stored(int turn) {
        mWorker.stored();
        if (turn == mTurn) {
            look();
        }
    }

    /** The worker's life is over. */
    void stop() {
        mStopped = true;
    }

    private void again(long delayMs) {
        int turn = mTurn;
        mParts.timers()
                .after(
                        delayMs,
                        () -> {
                            if (turn == mTurn) {
                                look();
                            }
                        });
    }

    private void stopOrphan(RunView view) {
        mParts.log()
                .line("run-unwanted")
                .with("task", view.task())
                .with("worker", mWorker.id())
                .write();
        RunOrder order = new RunOrder(view.task(), view.attempt(), mToken);
        mParts.platform().orders().stop(mWorker.address(), order, a -> {});
    }

    private void log(LookEffects effects) {
        for (RunEnd e : effects.toStore()) {
            mParts.log()
                    .line("run-ended")
                    .with("task", e.task())
                    .with("attempt", e.attempt())
                    .with("worker", mWorker.id())
                    .with("outcome", e.outcome())
                    .write();
        }
        for (TaskRun r : effects.lost()) {
            mParts.log()
                    .line("run-gone")
                    .with("task", r.slot().name())
                    .with("attempt", r.attempt())
                    .with("worker", mWorker.id())
                    .with("phase", r.phase())
                    .write();
        }
    }
}
