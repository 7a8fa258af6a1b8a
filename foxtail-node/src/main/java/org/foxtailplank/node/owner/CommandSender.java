package org.foxtailplank.node.owner;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.WeakHashMap;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.LinkBudget;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.PlacementAdvisor.Advice;
import org.foxtailplank.port.WorkerClient.RunCommand;
import org.foxtailplank.port.WorkerClient.StartCommand;
import org.foxtailplank.port.WorkerClient.WorkerAddress;
import org.foxtailplank.schedule.Decisions;
import org.foxtailplank.schedule.RunPhase;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/** Sends the scheduler's decisions about runs to workers. */
final class CommandSender {
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

    /** Estimated size of a relayed start, in bytes. */
    private static final int RELAYED_START_BYTES = 250;

    /** Share of the starts' burst that is left to relayed starts while there is a relay. */
    private static final double RELAY_RESERVE = 0.5;

    private final OwnerSession mOwner;
    private final OwnerContext mContext;
    private final long mToken;
    private final LinkBudget mStartBudget;

    /** Runs whose start the relay couldn't send, which are sent directly. */
    private final Set<TaskRun> mNotRelayed = Collections.newSetFromMap(new WeakHashMap<>());

    CommandSender(OwnerSession owner, OwnerContext context, long token) {
        mOwner = owner;
        mContext = context;
        mToken = token;
        mStartBudget =
                new LinkBudget(
                        context.settings().link(),
                        START_LINK_SHARE,
                        START_BURST_MS,
                        MAX_START_BYTES,
                        context.clock().nowMs());
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
        List<StartedRun> starts = planned.stream().map(TaskRun::startRecord).toList();
        mOwner.journal()
                .store(
                        new RunsStarted(starts),
                        () -> {
                            mOwner.scheduler().startsRecorded(planned);
                            mOwner.decide();
                        });
    }

    /**
     * Sends a start if a full lease can be granted and the link has capacity, else delays it. While
     * the link is busy, starts go through other nodes, which need not be sent the task's text.
     *
     * <p>A start recorded during a store outage is stored by an append that was first sent when the
     * outage began. The rest of a lease counted from that time is too short and the run would
     * expire at once; the next stored heartbeat allows a full one.
     *
     * <p>Without the limit, starts fill the narrow link of an owner: commands and polls time out,
     * workers count as unresponsive, and their runs are treated as expired and started again.
     */
    private void start(Decisions.Start start) {
        TaskRun run = start.run();
        long now = mContext.clock().nowMs();
        String text = run.task().step().job().definition().text();
        int bytes = Math.min(START_OVERHEAD_BYTES + text.length(), MAX_START_BYTES);
        boolean relayable = mContext.startRelay().isAvailable() && !mNotRelayed.contains(run);
        if (!mOwner.canGrantFullLease()) {
            mOwner.scheduler().retryStart(run);
        } else if (mStartBudget.tryConsume(bytes, relayable ? RELAY_RESERVE : 0, now)) {
            sendDirectly(start, text, now);
        } else if (relayable && mStartBudget.tryConsume(RELAYED_START_BYTES, now)) {
            relay(start, now);
        } else {
            mOwner.scheduler().retryStart(run);
        }
    }

    private void sendDirectly(Decisions.Start start, String text, long now) {
        TaskRun run = start.run();
        mNotRelayed.remove(run);
        run.recordStartSent(now);
        mContext.metrics().counter("starts").inc();
        WorkerAddress to = run.worker().address();
        mContext.platform()
                .workerClient()
                .start(
                        to,
                        command(start, text, now),
                        a -> handleStartAnswer(run, to, a.outcome(), now, false));
    }

    private void relay(Decisions.Start start, long now) {
        TaskRun run = start.run();
        run.recordStartSent(now);
        mContext.metrics().counter("relayedStarts").inc();
        WorkerAddress to = run.worker().address();
        mContext.startRelay()
                .start(
                        to,
                        command(start, "", now),
                        outcome ->
                                outcome.ifPresentOrElse(
                                        o -> handleStartAnswer(run, to, o, now, true),
                                        () -> handleNotRelayed(run)));
    }

    private void handleNotRelayed(TaskRun run) {
        if (!mOwner.hasEnded() && run.phase() == RunPhase.STARTING) {
            mNotRelayed.add(run);
            mOwner.scheduler().retryStart(run);
        }
    }

    private StartCommand command(Decisions.Start start, String text, long now) {
        TaskRun run = start.run();
        return new StartCommand(
                runCommand(run),
                text,
                run.task().checkpoint(),
                start.ticket(),
                run.worker().renewLease(now, mOwner.workerLeaseMs()));
    }

    private void handleStartAnswer(
            TaskRun run, WorkerAddress to, CommandOutcome outcome, long sentMs, boolean relayed) {
        long now = mContext.clock().nowMs();
        boolean ended = mOwner.hasEnded();
        mContext.log()
                .line(ended ? "late-start-order" : "start-order")
                .with("task", run.task().name())
                .with("attempt", run.attempt())
                .with("worker", run.worker().id())
                .with("outcome", outcome)
                .with("tookMs", now - sentMs)
                .with("relayed", relayed)
                .with("token", mToken)
                .with("startMs", run.worker().incarnation().startMs())
                .with("entryStartMs", run.entryStartMs())
                .write();
        if (ended) {
            return;
        }
        mContext.metrics().latency("start").update(now - sentMs);
        mOwner.scheduler().startAnswered(run, outcome, now);
        if (handleTerminalAnswer(run.worker(), to, outcome)) {
            return;
        }
        if (outcome != CommandOutcome.DONE) {
            mOwner.scheduleDecision();
        }
    }

    /**
     * Handles an answer that ends the owner's work or the worker's incarnation; returns whether it
     * did.
     */
    private boolean handleTerminalAnswer(
            WorkerState worker, WorkerAddress to, CommandOutcome outcome) {
        if (outcome == CommandOutcome.FENCED) {
            mOwner.handleFenced(worker.id());
            return true;
        }
        return outcome == CommandOutcome.OTHER_LIFE
                && mOwner.handleOtherIncarnation(worker, to.address());
    }

    private void stop(TaskRun run) {
        mContext.metrics().counter("stops").inc();
        WorkerAddress to = run.worker().address();
        mContext.platform()
                .workerClient()
                .stop(
                        to,
                        runCommand(run),
                        a -> {
                            if (mOwner.hasEnded()) {
                                return;
                            }
                            mContext.log()
                                    .line("stop-order")
                                    .with("task", run.task().name())
                                    .with("attempt", run.attempt())
                                    .with("worker", run.worker().id())
                                    .with("why", run.stopReason())
                                    .with("outcome", a.outcome())
                                    .write();
                            if (!handleTerminalAnswer(run.worker(), to, a.outcome())) {
                                long now = mContext.clock().nowMs();
                                mOwner.scheduler().stopAnswered(run, a.outcome(), now);
                            }
                        });
    }

    private void pace(Decisions.Pace pace) {
        TaskRun run = pace.run();
        mContext.metrics().counter("paces").inc();
        mContext.log()
                .line("pace-order")
                .with("task", run.task().name())
                .with("percent", pace.percent())
                .write();
        WorkerAddress to = run.worker().address();
        mContext.platform()
                .workerClient()
                .throttle(
                        to,
                        runCommand(run),
                        pace.percent(),
                        a -> handleTerminalAnswer(run.worker(), to, a.outcome()));
    }

    private void ask(Decisions.AdviceRequest request) {
        long sentMs = mContext.clock().nowMs();
        mContext.metrics().counter("asks").inc();
        mContext.platform()
                .advice()
                .ask(
                        request.job(),
                        request.runNumber(),
                        request.step().number(),
                        request.workers().stream().map(WorkerIncarnation::id).toList(),
                        request.timeoutMs(),
                        a -> handleAdvice(request, a, sentMs));
    }

    private void handleAdvice(Decisions.AdviceRequest request, Advice advice, long sentMs) {
        long now = mContext.clock().nowMs();
        mContext.metrics().counter(advice.answered() ? "asksAnswered" : "asksFailed").inc();
        mContext.log()
                .line("advice")
                .with("job", request.job())
                .with("step", request.step().number())
                .with("asked", request.workers().size())
                .with("answered", advice.answered())
                .with("allowed", advice.tickets().size())
                .with("tookMs", now - sentMs)
                .with("timeoutMs", request.timeoutMs())
                .write();
        mOwner.scheduler().adviceAnswered(request, advice, now);
        mOwner.scheduleDecision();
    }

    private RunCommand runCommand(TaskRun run) {
        return new RunCommand(run.task().name(), run.attempt(), mToken);
    }
}
