package org.foxtailplank.port;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunView;
import org.foxtailplank.job.TaskName;

/** Orders to workers; each names the life of the worker that it is meant for. */
public interface WorkerOrders {

    /** Starts a run of a task; repeating the order is harmless. */
    void start(WorkerAddress worker, StartOrder order, Consumer<OrderAnswer> then);

    /** Stops a run; one that is not there yet will never start. */
    void stop(WorkerAddress worker, RunOrder order, Consumer<OrderAnswer> then);

    /** Lets a run work at a share of its speed. */
    void pace(WorkerAddress worker, RunOrder order, int percent, Consumer<OrderAnswer> then);

    /** Acknowledges ends, renews the lease of all that runs, and lists runs and ends. */
    void look(WorkerAddress worker, LookOrder order, Consumer<LookAnswer> then);

    /**
     * Which life of which worker.
     *
     * @param id the life
     * @param address where it listens, as {@code ip:port}
     */
    record WorkerAddress(String id, String address) {}

    /**
     * A start.
     *
     * @param run the run
     * @param text the job's text for its tasks
     * @param checkpoint where to go on from; empty for the beginning
     * @param ticket ticket of the queue's advice; empty for none
     * @param leaseUntilMs end of the worker's lease on the worker's clock
     */
    record StartOrder(
            RunOrder run, String text, String checkpoint, String ticket, long leaseUntilMs) {}

    /**
     * A run, with the token of the owner that gives the order.
     *
     * @param task the task
     * @param attempt number of the run
     * @param token fencing token of the owner
     */
    record RunOrder(TaskName task, int attempt, long token) {}

    /**
     * A look.
     *
     * @param token fencing token of the owner
     * @param acknowledged ends up to this number are stored and may be forgotten
     * @param leaseUntilMs end of the lease on the worker's clock; 0 to leave it
     * @param waitMs how long to wait for an end
     */
    record LookOrder(long token, long acknowledged, long leaseUntilMs, long waitMs) {}

    /** Answer to an order, with the worker's clock in milliseconds, or -1 without one. */
    record OrderAnswer(OrderOutcome outcome, long clockMs) {}

    /** Answer to a look. */
    record LookAnswer(
            OrderOutcome outcome, long clockMs, List<RunView> running, List<RunEnd> ended) {
        public LookAnswer {
            running = List.copyOf(running);
            ended = List.copyOf(ended);
        }
    }
}
