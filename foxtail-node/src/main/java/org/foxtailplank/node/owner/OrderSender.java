package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.node.LinkBudget;
import org.foxtailplank.port.OrderOutcome;
import org.foxtailplank.port.WorkerOrders.OrderAnswer;
import org.foxtailplank.port.WorkerOrders.RunOrder;
import org.foxtailplank.port.WorkerOrders.StartOrder;
import org.foxtailplank.schedule.Decisions;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/** Carries out what the scheduler decides about runs. */
final class OrderSender {
    /**
     * Share of the link for starts, each of which carries its task's text: beside the journal's
     * records and these, what is left is for looks, appends and stops.
     */
    private static final double START_SHARE = 0.4;

    /** Time whose share starts may use at once, in milliseconds. */
    private static final long START_BURST_MS = 250;

    /** A start that is larger counts as so many bytes: on a very narrow link it must go too. */
    private static final int LARGEST_START_BYTES = 16 << 10;

    /** What a start takes beside its task's text, in bytes: head, other fields, packets. */
    private static final int START_BYTES = 600;

    private final OwnerWork mOwner;
    private final OwnerParts mParts;
    private final long mToken;
    private final LinkBudget mStartBudget;

    OrderSender(OwnerWork owner, OwnerParts parts, long token) {
        mOwner = owner;
        mParts = parts;
        mToken = token;
        mStartBudget =
                new LinkBudget(
                        parts.settings().link(),
                        START_SHARE,
                        START_BURST_MS,
                        LARGEST_START_BYTES,
                        parts.clock().nowMs());
    }

    void send(Decisions decisions) {
        record(decisions.planned());
        decisions.starts().forEach(this::start);
        decisions.stops().forEach(this::stop);
        decisions.paces().forEach(this::pace);
        decisions.asks().forEach(this::ask);
    }

    /** A start is written down first, so that a new owner knows where the task may run. */
    private void record(List<TaskRun> planned) {
        if (planned.isEmpty()) {
            return;
        }
        List<StartedRun> starts = new ArrayList<>();
        for (TaskRun r : planned) {
            starts.add(new StartedRun(r.slot().name(), r.attempt(), r.worker().id()));
        }
        mOwner.journal()
                .store(
                        new RunsStarted(starts),
                        () -> {
                            mOwner.scheduler().recorded(planned);
                            mOwner.decideNow();
                        });
    }

    /**
     * A start waits for a full lease. One that was written down while the store was away is stored
     * by an append that was first sent as the store went; with what that leaves of a lease the run
     * would lapse at once. The next sign of life in the journal brings a full one.
     *
     * <p>It waits for room on the link as well. Guards against an owner with a narrow link whose
     * starts fill it: they and its looks time out, all are sent again, workers fall silent and what
     * runs there is taken as lapsed and started a second time.
     */
    private void start(Decisions.Start start) {
        TaskRun run = start.run();
        long now = mParts.clock().nowMs();
        String text = run.slot().step().job().order().text();
        int bytes = Math.min(START_BYTES + text.length(), LARGEST_START_BYTES);
        if (!mOwner.givesFullLeases() || !mStartBudget.take(bytes, now)) {
            mOwner.scheduler().startDelayed(run);
            return;
        }
        WorkerState worker = run.worker();
        StartOrder order =
                new StartOrder(
                        order(run),
                        text,
                        run.slot().checkpoint(),
                        start.ticket(),
                        worker.renew(now, mOwner.workerLeaseMs()));
        mParts.metrics().counter("starts").inc();
        mParts.platform().orders().start(worker.address(), order, a -> started(run, a, now));
    }

    private void started(TaskRun run, OrderAnswer answer, long sentMs) {
        if (mOwner.isOver()) {
            return;
        }
        long now = mParts.clock().nowMs();
        mParts.metrics().latency("start").update(now - sentMs);
        mParts.log()
                .line("start-order")
                .with("task", run.slot().name())
                .with("attempt", run.attempt())
                .with("worker", run.worker().id())
                .with("outcome", answer.outcome())
                .with("tookMs", now - sentMs)
                .write();
        if (isHandled(run.worker(), answer)) {
            return;
        }
        mOwner.scheduler().startAnswered(run, answer.outcome(), now);
        if (answer.outcome() != OrderOutcome.DONE) {
            mOwner.decisionDue();
        }
    }

    /** Whether the answer ends the owner's time or the worker's life. */
    private boolean isHandled(WorkerState worker, OrderAnswer answer) {
        if (answer.outcome() == OrderOutcome.FENCED) {
            mOwner.fenced(worker.id());
            return true;
        }
        if (answer.outcome() == OrderOutcome.OTHER_LIFE) {
            mOwner.workerOver(worker, "another life answers");
            return true;
        }
        return false;
    }

    private void stop(TaskRun run) {
        mParts.metrics().counter("stops").inc();
        mParts.platform()
                .orders()
                .stop(
                        run.worker().address(),
                        order(run),
                        a -> {
                            if (mOwner.isOver()) {
                                return;
                            }
                            mParts.log()
                                    .line("stop-order")
                                    .with("task", run.slot().name())
                                    .with("attempt", run.attempt())
                                    .with("worker", run.worker().id())
                                    .with("why", run.reason())
                                    .with("outcome", a.outcome())
                                    .write();
                            if (!isHandled(run.worker(), a)) {
                                long now = mParts.clock().nowMs();
                                mOwner.scheduler().stopAnswered(run, a.outcome(), now);
                            }
                        });
    }

    private void pace(Decisions.Pace pace) {
        TaskRun run = pace.run();
        mParts.metrics().counter("paces").inc();
        mParts.log()
                .line("pace-order")
                .with("task", run.slot().name())
                .with("percent", pace.percent())
                .write();
        mParts.platform()
                .orders()
                .pace(
                        run.worker().address(),
                        order(run),
                        pace.percent(),
                        a -> isHandled(run.worker(), a));
    }

    private void ask(Decisions.Ask ask) {
        mParts.metrics().counter("asks").inc();
        mParts.platform()
                .advice()
                .ask(
                        ask.job(),
                        ask.runNumber(),
                        ask.step().number(),
                        ask.workers(),
                        a -> {
                            mParts.log()
                                    .line("advice")
                                    .with("job", ask.job())
                                    .with("step", ask.step().number())
                                    .with("asked", ask.workers().size())
                                    .with("answered", a.answered())
                                    .with("allowed", a.tickets().size())
                                    .write();
                            long now = mParts.clock().nowMs();
                            mOwner.scheduler().advised(ask, a, now);
                            mOwner.decisionDue();
                        });
    }

    private RunOrder order(TaskRun run) {
        return new RunOrder(run.slot().name(), run.attempt(), mToken);
    }
}
