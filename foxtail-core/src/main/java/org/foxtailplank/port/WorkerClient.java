package org.foxtailplank.port;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;

/** Client for commands to workers; each command carries the ID of the addressed worker. */
public interface WorkerClient {

    /** Starts a run of a task; idempotent. */
    void start(WorkerAddress worker, StartCommand command, Consumer<CommandResponse> callback);

    /** Stops a run; a start of the same run that arrives later is rejected. */
    void stop(WorkerAddress worker, RunCommand command, Consumer<CommandResponse> callback);

    /** Throttles a run to a percentage of its speed. */
    void throttle(
            WorkerAddress worker,
            RunCommand command,
            int percent,
            Consumer<CommandResponse> callback);

    /**
     * Acknowledges ends, renews the lease of all runs, and lists running and ended runs.
     *
     * @param callback runs once, or twice if the answer arrives after the timeout: first with
     *     {@link CommandOutcome#UNANSWERED}, then with the answer
     */
    void poll(WorkerAddress worker, PollCommand command, Consumer<PollResponse> callback);

    /**
     * Address of a worker.
     *
     * @param id worker ID
     * @param address address that it listens on, as {@code ip:port}
     */
    record WorkerAddress(String id, String address) {}

    /**
     * Command to start a run.
     *
     * @param run the run
     * @param text opaque text of the job
     * @param checkpoint checkpoint to resume from; empty to start from the beginning
     * @param ticket ticket of the placement advice service; empty if none is needed
     * @param leaseUntilMs end of the lease, by the worker's clock
     */
    record StartCommand(
            RunCommand run, String text, String checkpoint, String ticket, long leaseUntilMs) {}

    /**
     * Identifies a run, with the fencing token of the owner that sends the command.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param token fencing token of the owner
     */
    record RunCommand(TaskName task, int attempt, long token) {}

    /**
     * Command to list the runs of a worker.
     *
     * @param token fencing token of the owner
     * @param acknowledged sequence number up to which ends are stored and may be discarded
     * @param leaseUntilMs new end of the lease, by the worker's clock; 0 to keep the current one
     * @param waitMs how long to wait for an end, in milliseconds
     */
    record PollCommand(long token, long acknowledged, long leaseUntilMs, long waitMs) {}

    /** Result of a command, with the worker's clock in milliseconds, or -1 if it is unknown. */
    record CommandResponse(CommandOutcome outcome, long clockMs) {}

    /**
     * Result of {@link #poll}.
     *
     * @param startMs when the answering incarnation started, in milliseconds since the epoch; 0 if
     *     unknown
     * @param clockMs the worker's clock in milliseconds, which starts anew with each incarnation;
     *     -1 if unknown
     */
    record PollResponse(
            CommandOutcome outcome,
            long startMs,
            long clockMs,
            List<RunStatus> running,
            List<RunEnd> ended) {
        public PollResponse {
            running = List.copyOf(running);
            ended = List.copyOf(ended);
        }
    }
}
