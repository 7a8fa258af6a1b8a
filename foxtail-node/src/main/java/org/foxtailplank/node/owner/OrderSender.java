package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.port.OrderOutcome;
import org.foxtailplank.port.WorkerOrders.OrderAnswer;
import org.foxtailplank.port.WorkerOrders.RunOrder;
import org.foxtailplank.port.WorkerOrders.StartOrder;
import org.foxtailplank.schedule.Decisions;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/** Carries out what the scheduler decides about runs. */
final class OrderSender {
    private final OwnerWork mOwner;
    private final OwnerParts mParts;
    private final long mToken;

    OrderSender(OwnerWork owner, OwnerParts parts, long token) {
        mOwner = owner;
        mParts = parts;
        mToken = token;
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

    private void start(Decisions.Start start) {
        TaskRun run = start.run();
        WorkerState worker = run.worker();
        long now = mParts.clock().nowMs();
        worker.granted(now);
        StartOrder order =
                new StartOrder(
                        order(run),
                        run.slot().step().job().order().text(),
                        run.slot().checkpoint(),
                        start.ticket(),
                        worker.leaseUntilMs(now, mOwner.workerLeaseMs()));
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
