package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.node.LinkBudget;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.CommandResponse;
import org.foxtailplank.port.WorkerClient.RunCommand;
import org.foxtailplank.port.WorkerClient.StartCommand;
import org.foxtailplank.schedule.Decisions;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/** Sends the scheduler's decisions about runs to workers. */
final class OrderSender {
    /**
     * Share of the link for starts, each of which carries its task's text. The rest is for journal
     * records, polls, appends and stops.
     */
    private static final double START_LINK_SHARE = 0.4;

    /** Time whose share of the link may be used in one burst, in milliseconds. */
    private static final long START_BURST_MS = 250;

    /** Larger starts count as this many bytes, so that they are sent even on a very narrow link. */
    private static final int MAX_START_BYTES = 16 << 10;

    /**
     * Estimated size of a start without its task's text, in bytes: headers, other fields, packets.
     */
    private static final int START_OVERHEAD_BYTES = 600;

    private final OwnerSession mOwner;
    private final OwnerContext mParts;
    private final long mToken;
    private final LinkBudget mStartBudget;

    OrderSender(OwnerSession owner, OwnerContext parts, long token) {
        mOwner = owner;
        mParts = parts;
        mToken = token;
        mStartBudget =
                new LinkBudget(
                        parts.settings().link(),
                        START_LINK_SHARE,
                        START_BURST_MS,
                        MAX_START_BYTES,
                        parts.clock().nowMs());
    }

    void send(Decisions decisions) {
        recordStarts(decisions.planned());
        decisions.starts().forEach(this::start);
        decisions.stops().forEach(this::stop);
        decisions.paces().forEach(this::pace);
        decisions.adviceRequests().forEach(this::ask);
    }

    /**
     * Records starts in the journal before they are sent, so that a new owner knows where a task
     * may run.
     */
    private void recordStarts(List<TaskRun> planned) {
        if (planned.isEmpty()) {
            return;
        }
        List<StartedRun> starts = new ArrayList<>();
        for (TaskRun r : planned) {
            starts.add(new StartedRun(r.task().name(), r.attempt(), r.worker().id()));
        }
        mOwner.journal()
                .store(
                        new RunsStarted(starts),
                        () -> {
                            mOwner.scheduler().startsRecorded(planned);
                            mOwner.decideNow();
                        });
    }

    /**
     * Sends a start if a full lease can be granted and the link has capacity, else delays it.
     *
     * <p>A start recorded during a store outage is stored by an append that was first sent when the
     * outage began. The rest of a lease counted from that time is too short and the run would lapse
     * at once; the next stored heartbeat allows a full one.
     *
     * <p>Without the limit, starts fill the narrow link of an owner: orders and polls time out,
     * workers count as silent, and their runs are treated as lapsed and started again.
     */
    private void start(Decisions.Start start) {
        TaskRun run = start.run();
        long now = mParts.clock().nowMs();
        String text = run.task().step().job().order().text();
        int bytes = Math.min(START_OVERHEAD_BYTES + text.length(), MAX_START_BYTES);
        if (!mOwner.canGrantFullLease() || !mStartBudget.tryConsume(bytes, now)) {
            mOwner.scheduler().retryStart(run);
            return;
        }
        WorkerState worker = run.worker();
        StartCommand order =
                new StartCommand(
                        runOrder(run),
                        text,
                        run.task().checkpoint(),
                        start.ticket(),
                        worker.renewLease(now, mOwner.workerLeaseMs()));
        mParts.metrics().counter("starts").inc();
        mParts.platform()
                .orders()
                .start(worker.address(), order, a -> handleStartAnswer(run, a, now));
    }

    private void handleStartAnswer(TaskRun run, CommandResponse answer, long sentMs) {
        if (mOwner.hasEnded()) {
            return;
        }
        long now = mParts.clock().nowMs();
        mParts.metrics().latency("start").update(now - sentMs);
        mParts.log()
                .line("start-order")
                .with("task", run.task().name())
                .with("attempt", run.attempt())
                .with("worker", run.worker().id())
                .with("outcome", answer.outcome())
                .with("tookMs", now - sentMs)
                .write();
        if (handleTerminalAnswer(run.worker(), answer)) {
            return;
        }
        mOwner.scheduler().startAnswered(run, answer.outcome(), now);
        if (answer.outcome() != CommandOutcome.DONE) {
            mOwner.scheduleDecision();
        }
    }

    /**
     * Handles an answer that ends the owner's work or the worker's incarnation; returns whether it
     * did.
     */
    private boolean handleTerminalAnswer(WorkerState worker, CommandResponse answer) {
        if (answer.outcome() == CommandOutcome.FENCED) {
            mOwner.handleFenced(worker.id());
            return true;
        }
        if (answer.outcome() == CommandOutcome.OTHER_LIFE) {
            mOwner.handleWorkerEnded(worker, "another incarnation answered");
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
                        runOrder(run),
                        a -> {
                            if (mOwner.hasEnded()) {
                                return;
                            }
                            mParts.log()
                                    .line("stop-order")
                                    .with("task", run.task().name())
                                    .with("attempt", run.attempt())
                                    .with("worker", run.worker().id())
                                    .with("why", run.stopReason())
                                    .with("outcome", a.outcome())
                                    .write();
                            if (!handleTerminalAnswer(run.worker(), a)) {
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
                .with("task", run.task().name())
                .with("percent", pace.percent())
                .write();
        mParts.platform()
                .orders()
                .throttle(
                        run.worker().address(),
                        runOrder(run),
                        pace.percent(),
                        a -> handleTerminalAnswer(run.worker(), a));
    }

    private void ask(Decisions.AdviceRequest ask) {
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
                            mOwner.scheduler().adviceAnswered(ask, a, now);
                            mOwner.scheduleDecision();
                        });
    }

    private RunCommand runOrder(TaskRun run) {
        return new RunCommand(run.task().name(), run.attempt(), mToken);
    }
}
