package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient;

/**
 * In-memory workers on the test's clock. Like the platform's workers they keep the highest token, a
 * lease whose expiry ends all runs, and a list of ends until it is acknowledged.
 */
final class FakeWorkers {
    private static final long CLOCK_AHEAD_MS = 5000;
    private static final long ANSWER_MS = 5;
    private static final long TIMEOUT_MS = 400;
    private static final int FULL_PROGRESS_PERCENT = 100;

    private final FakeTime mTime;
    private final Map<String, Worker> mWorkers = new HashMap<>();
    private long mStopMs;

    FakeWorkers(FakeTime time) {
        mTime = time;
    }

    private record Run(TaskName task, int attempt) {}

    private final class Worker {
        private final long mStartMs;
        private final long mClockZeroMs;
        private final Set<Run> mRunning = new HashSet<>();
        private final Map<TaskName, Integer> mRejectedUpTo = new HashMap<>();
        private final List<RunEnd> mUnacknowledged = new ArrayList<>();
        private long mToken;
        private long mLeaseUntilMs;
        private long mLastEnd;
        private boolean mLeaseHeld;

        Worker(long startMs, long clockZeroMs) {
            mStartMs = startMs;
            mClockZeroMs = clockZeroMs;
        }

        long clockMs() {
            return mTime.nowMs() - mClockZeroMs;
        }

        void endRunsIfLeaseExpired() {
            if (!mLeaseHeld && clockMs() > mLeaseUntilMs) {
                Set.copyOf(mRunning).forEach(r -> end(r, RunOutcome.LAPSED));
            }
        }

        void end(Run run, RunOutcome outcome) {
            mRejectedUpTo.merge(run.task(), run.attempt(), Math::max);
            if (mRunning.remove(run)) {
                mLastEnd++;
                mUnacknowledged.add(new RunEnd(mLastEnd, run.task(), run.attempt(), outcome, ""));
            }
        }

        boolean accepts(long token) {
            endRunsIfLeaseExpired();
            mToken = Math.max(mToken, token);
            return token == mToken;
        }
    }

    private Worker worker(String id) {
        return mWorkers.computeIfAbsent(
                id, i -> new Worker(WorkerIncarnation.UNKNOWN_START_MS, -CLOCK_AHEAD_MS));
    }

    /** Starts a worker, or starts it again under its ID: its clock and its numbers start anew. */
    void startAt(String id, long startMs) {
        mWorkers.put(id, new Worker(startMs, mTime.nowMs()));
    }

    /** Sets how long runs go on after a stop, in milliseconds. */
    void setStopTime(long stopMs) {
        mStopMs = stopMs;
    }

    /** Returns the workers on which a task is running. */
    List<String> running(TaskName task) {
        List<String> found = new ArrayList<>();
        mWorkers.forEach(
                (id, w) -> {
                    w.endRunsIfLeaseExpired();
                    w.mRunning.stream()
                            .filter(r -> r.task().equals(task))
                            .forEach(r -> found.add(id));
                });
        return found;
    }

    /** Ends a task's run on a worker as done. */
    void finish(String id, TaskName task) {
        Worker worker = worker(id);
        for (Run r : Set.copyOf(worker.mRunning)) {
            if (r.task().equals(task)) {
                worker.end(r, RunOutcome.DONE);
            }
        }
    }

    boolean hasLeaseExpired(String id) {
        return worker(id).clockMs() > worker(id).mLeaseUntilMs;
    }

    /** Keeps a worker's lease from expiring, as if another owner renewed it. */
    void holdLease(String id) {
        worker(id).mLeaseHeld = true;
    }

    /** Returns a node's connection to the workers. */
    Connection connect() {
        return new Connection();
    }

    /** A node's connection to the workers, which can be broken for single workers. */
    final class Connection implements WorkerClient {
        private final Set<String> mDisconnected = new HashSet<>();
        private final List<Runnable> mHeldStarts = new ArrayList<>();
        private final List<Runnable> mUndelivered = new ArrayList<>();

        void disconnect(String id) {
            mDisconnected.add(id);
        }

        /** Carries out the starts that were sent to disconnected workers, long after they were. */
        void carryOutHeldStarts() {
            mHeldStarts.forEach(Runnable::run);
            mHeldStarts.clear();
        }

        /** Restores the connection and delivers commands that have not timed out yet. */
        void reconnect(String id) {
            mDisconnected.remove(id);
            List<Runnable> commands = List.copyOf(mUndelivered);
            mUndelivered.clear();
            commands.forEach(Runnable::run);
        }

        @Override
        public void start(
                WorkerAddress to, StartCommand command, Consumer<CommandResponse> callback) {
            if (mDisconnected.contains(to.id())) {
                mHeldStarts.add(() -> handleStart(worker(to.id()), command));
            }
            call(to.id(), 0, unanswered(), callback, () -> handleStart(worker(to.id()), command));
        }

        @Override
        public void stop(WorkerAddress to, RunCommand command, Consumer<CommandResponse> callback) {
            call(to.id(), 0, unanswered(), callback, () -> handleStop(worker(to.id()), command));
        }

        @Override
        public void throttle(
                WorkerAddress to,
                RunCommand command,
                int percent,
                Consumer<CommandResponse> callback) {
            call(
                    to.id(),
                    0,
                    unanswered(),
                    callback,
                    () -> answer(worker(to.id()), CommandOutcome.DONE));
        }

        @Override
        public void poll(WorkerAddress to, PollCommand command, Consumer<PollResponse> callback) {
            PollResponse unanswered =
                    new PollResponse(
                            CommandOutcome.UNANSWERED,
                            WorkerIncarnation.UNKNOWN_START_MS,
                            -1,
                            List.of(),
                            List.of());
            long wait = command.waitMs() / 2;
            call(to.id(), wait, unanswered, callback, () -> handlePoll(worker(to.id()), command));
        }

        /**
         * Executes a command, or holds it until the connection is restored or the command times
         * out.
         */
        private <T> void call(
                String id, long waitMs, T unanswered, Consumer<T> callback, Supplier<T> execute) {
            boolean[] completed = new boolean[1];
            Runnable arrive =
                    () -> {
                        if (!completed[0]) {
                            completed[0] = true;
                            T result = execute.get();
                            mTime.after(
                                    ANSWER_MS + waitMs,
                                    () ->
                                            callback.accept(
                                                    mDisconnected.contains(id)
                                                            ? unanswered
                                                            : result));
                        }
                    };
            if (!mDisconnected.contains(id)) {
                arrive.run();
                return;
            }
            mUndelivered.add(arrive);
            mTime.after(
                    TIMEOUT_MS,
                    () -> {
                        if (!completed[0]) {
                            completed[0] = true;
                            callback.accept(unanswered);
                        }
                    });
        }
    }

    private static WorkerClient.CommandResponse unanswered() {
        return new WorkerClient.CommandResponse(CommandOutcome.UNANSWERED, -1);
    }

    private static WorkerClient.CommandResponse answer(Worker worker, CommandOutcome outcome) {
        return new WorkerClient.CommandResponse(outcome, worker.clockMs());
    }

    private WorkerClient.CommandResponse handleStart(
            Worker worker, WorkerClient.StartCommand command) {
        if (!worker.accepts(command.run().token())) {
            return answer(worker, CommandOutcome.FENCED);
        }
        worker.mLeaseUntilMs = Math.max(worker.mLeaseUntilMs, command.leaseUntilMs());
        TaskName task = command.run().task();
        int attempt = command.run().attempt();
        if (attempt <= worker.mRejectedUpTo.getOrDefault(task, 0)) {
            return answer(worker, CommandOutcome.OUTDATED);
        }
        if (worker.mLeaseUntilMs <= worker.clockMs()) {
            return answer(worker, CommandOutcome.LEASE_OVER);
        }
        worker.mRunning.add(new Run(task, attempt));
        return answer(worker, CommandOutcome.DONE);
    }

    private WorkerClient.CommandResponse handleStop(
            Worker worker, WorkerClient.RunCommand command) {
        if (!worker.accepts(command.token())) {
            return answer(worker, CommandOutcome.FENCED);
        }
        Run run = new Run(command.task(), command.attempt());
        worker.mRejectedUpTo.merge(run.task(), run.attempt(), Math::max);
        if (mStopMs > 0) {
            mTime.after(mStopMs, () -> worker.end(run, RunOutcome.STOPPED));
        } else {
            worker.end(run, RunOutcome.STOPPED);
        }
        return answer(worker, CommandOutcome.DONE);
    }

    private WorkerClient.PollResponse handlePoll(Worker worker, WorkerClient.PollCommand command) {
        if (!worker.accepts(command.token())) {
            return new WorkerClient.PollResponse(
                    CommandOutcome.FENCED, worker.mStartMs, worker.clockMs(), List.of(), List.of());
        }
        worker.mLeaseUntilMs = Math.max(worker.mLeaseUntilMs, command.leaseUntilMs());
        worker.mUnacknowledged.removeIf(e -> e.sequence() <= command.acknowledged());
        List<RunStatus> running = new ArrayList<>();
        worker.mRunning.forEach(
                r ->
                        running.add(
                                new RunStatus(
                                        r.task(), r.attempt(), "", FULL_PROGRESS_PERCENT, 0)));
        return new WorkerClient.PollResponse(
                CommandOutcome.DONE,
                worker.mStartMs,
                worker.clockMs(),
                running,
                worker.mUnacknowledged);
    }
}
