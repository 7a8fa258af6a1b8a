package org.foxtailplank.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.port.WorkerClient.StartCommand;

/** Sends the starts that an owner relays through this node, with the jobs' texts. */
public final class RelayedStartHandler {
    private final JournalReader mReader;
    private final WorkerClient mWorkers;
    private final Clock mClock;
    private final NodeLog mLog;

    public RelayedStartHandler(
            JournalReader reader, WorkerClient workers, Clock clock, NodeLog log) {
        mReader = reader;
        mWorkers = workers;
        mClock = clock;
        mLog = log;
    }

    /**
     * Sends a start. A job that this node doesn't know yet is looked up once more after a read of
     * the journal.
     *
     * @param callback receives the worker's answer, or empty if the command was not sent
     */
    void handle(PeerFrame.RelayedStart start, Consumer<Optional<CommandOutcome>> callback) {
        long receivedMs = mClock.nowMs();
        if (text(start).isPresent()) {
            send(start, receivedMs, callback);
        } else {
            mReader.refresh(read -> send(start, receivedMs, callback));
        }
    }

    private Optional<String> text(PeerFrame.RelayedStart start) {
        JobRegistry registry = mReader.registry();
        return registry.job(start.command().run().task().job())
                .filter(j -> !j.phase().isFinal())
                .map(j -> j.definition().text());
    }

    private void send(
            PeerFrame.RelayedStart start,
            long receivedMs,
            Consumer<Optional<CommandOutcome>> callback) {
        long waitedMs = mClock.nowMs() - receivedMs;
        Optional<String> text = text(start);
        if (text.isEmpty()) {
            log(start, false, waitedMs, waitedMs, CommandOutcome.NOT_SENT);
            callback.accept(Optional.empty());
            return;
        }
        StartCommand command = start.command();
        StartCommand complete =
                new StartCommand(
                        command.run(),
                        text.get(),
                        command.checkpoint(),
                        command.ticket(),
                        command.leaseUntilMs());
        // The owner may reach a worker that this node can't connect to.
        mWorkers.start(
                start.worker(),
                complete,
                a -> {
                    log(start, true, waitedMs, mClock.nowMs() - receivedMs, a.outcome());
                    callback.accept(
                            Optional.of(a.outcome()).filter(o -> o != CommandOutcome.NOT_SENT));
                });
    }

    private void log(
            PeerFrame.RelayedStart start,
            boolean jobKnown,
            long waitedMs,
            long tookMs,
            CommandOutcome outcome) {
        WorkerClient.RunCommand run = start.command().run();
        mLog.line("relayed-start")
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", start.worker().id())
                .with("token", run.token())
                .with("jobKnown", jobKnown)
                .with("waitedMs", waitedMs)
                .with("tookMs", tookMs)
                .with("outcome", outcome)
                .write();
    }
}
