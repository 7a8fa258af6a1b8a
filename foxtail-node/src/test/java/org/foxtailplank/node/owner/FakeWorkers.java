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
import org.foxtailplank.job.RunView;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.port.OrderOutcome;
import org.foxtailplank.port.WorkerOrders;

/**
 * Workers in memory, on the clock of a test. They keep what the platform's do: the highest token, a
 * lease at whose end all runs are killed, and a list of ends until these are acknowledged.
 */
final class FakeWorkers {
    private static final long CLOCK_AHEAD_MS = 5000;
    private static final long ANSWER_MS = 5;
    private static final long TIMEOUT_MS = 400;
    private static final int AT_WORK = 100;

    private final FakeNode mTime;
    private final Map<String, Worker> mWorkers = new HashMap<>();

    FakeWorkers(FakeNode time) {
        mTime = time;
    }

    private record Run(TaskName task, int attempt) {}

    private final class Worker {
        private final Set<Run> mRunning = new HashSet<>();
        private final List<RunEnd> mEnded = new ArrayList<>();
        private long mToken;
        private long mUntilMs;
        private long mEnds;
        private boolean mHeldByOthers;

        void lapse() {
            if (!mHeldByOthers && clockMs() > mUntilMs) {
                Set.copyOf(mRunning).forEach(r -> end(r, RunOutcome.LAPSED));
            }
        }

        void end(Run run, RunOutcome outcome) {
            if (mRunning.remove(run)) {
                mEnds++;
                mEnded.add(new RunEnd(mEnds, run.task(), run.attempt(), outcome, ""));
            }
        }

        boolean obeys(long token) {
            lapse();
            mToken = Math.max(mToken, token);
            return token == mToken;
        }
    }

    private long clockMs() {
        return mTime.nowMs() + CLOCK_AHEAD_MS;
    }

    private Worker worker(String id) {
        return mWorkers.computeIfAbsent(id, i -> new Worker());
    }

    /** Workers on which a task runs now. */
    List<String> running(TaskName task) {
        List<String> found = new ArrayList<>();
        mWorkers.forEach(
                (id, w) -> {
                    w.lapse();
                    w.mRunning.stream()
                            .filter(r -> r.task().equals(task))
                            .forEach(r -> found.add(id));
                });
        return found;
    }

    /** A task's run on a worker ends done. */
    void finish(String id, TaskName task) {
        Worker worker = worker(id);
        for (Run r : Set.copyOf(worker.mRunning)) {
            if (r.task().equals(task)) {
                worker.end(r, RunOutcome.DONE);
            }
        }
    }

    boolean isLeaseOver(String id) {
        return clockMs() > worker(id).mUntilMs;
    }

    /** Somebody else keeps the worker's lease from lapsing. */
    void holdLease(String id) {
        worker(id).mHeldByOthers = true;
    }

    /** Where a node's orders go. */
    Way way() {
        return new Way();
    }

    /** A node's way to the workers, of which single ones can be cut off. */
    final class Way implements WorkerOrders {
        private final Set<String> mCut = new HashSet<>();
        private final List<Runnable> mHeldUp = new ArrayList<>();

        void cut(String id) {
            mCut.add(id);
        }

        /** Orders that were held up and not yet given up arrive. */
        void heal(String id) {
            mCut.remove(id);
            List<Runnable> orders = List.copyOf(mHeldUp);
            mHeldUp.clear();
            orders.forEach(Runnable::run);
        }

        @Override
        public void start(WorkerAddress to, StartOrder order, Consumer<OrderAnswer> then) {
            call(to.id(), 0, unanswered(), then, () -> started(worker(to.id()), order));
        }

        @Override
        public void stop(WorkerAddress to, RunOrder order, Consumer<OrderAnswer> then) {
            call(to.id(), 0, unanswered(), then, () -> stopped(worker(to.id()), order));
        }

        @Override
        public void pace(
                WorkerAddress to, RunOrder order, int percent, Consumer<OrderAnswer> then) {
            call(to.id(), 0, unanswered(), then, () -> answer(OrderOutcome.DONE));
        }

        @Override
        public void look(WorkerAddress to, LookOrder order, Consumer<LookAnswer> then) {
            LookAnswer none = new LookAnswer(OrderOutcome.UNANSWERED, -1, List.of(), List.of());
            long wait = order.waitMs() / 2;
            call(to.id(), wait, none, then, () -> looked(worker(to.id()), order));
        }

        /** An order that meets a cut arrives when that heals, if nobody has given it up. */
        private <T> void call(
                String id, long waitMs, T none, Consumer<T> then, Supplier<T> execute) {
            boolean[] told = new boolean[1];
            Runnable arrive =
                    () -> {
                        if (!told[0]) {
                            told[0] = true;
                            T result = execute.get();
                            mTime.after(
                                    ANSWER_MS + waitMs,
                                    () -> then.accept(mCut.contains(id) ? none : result));
                        }
                    };
            if (!mCut.contains(id)) {
                arrive.run();
                return;
            }
            mHeldUp.add(arrive);
            mTime.after(
                    TIMEOUT_MS,
                    () -> {
                        if (!told[0]) {
                            told[0] = true;
                            then.accept(none);
                        }
                    });
        }
    }

    private static WorkerOrders.OrderAnswer unanswered() {
        return new WorkerOrders.OrderAnswer(OrderOutcome.UNANSWERED, -1);
    }

    private WorkerOrders.OrderAnswer answer(OrderOutcome outcome) {
        return new WorkerOrders.OrderAnswer(outcome, clockMs());
    }

    private WorkerOrders.OrderAnswer started(Worker worker, WorkerOrders.StartOrder order) {
        if (!worker.obeys(order.run().token())) {
            return answer(OrderOutcome.FENCED);
        }
        if (order.leaseUntilMs() <= clockMs()) {
            return answer(OrderOutcome.LEASE_OVER);
        }
        worker.mUntilMs = Math.max(worker.mUntilMs, order.leaseUntilMs());
        worker.mRunning.add(new Run(order.run().task(), order.run().attempt()));
        return answer(OrderOutcome.DONE);
    }

    private WorkerOrders.OrderAnswer stopped(Worker worker, WorkerOrders.RunOrder order) {
        if (!worker.obeys(order.token())) {
            return answer(OrderOutcome.FENCED);
        }
        worker.end(new Run(order.task(), order.attempt()), RunOutcome.STOPPED);
        return answer(OrderOutcome.DONE);
    }

    private WorkerOrders.LookAnswer looked(Worker worker, WorkerOrders.LookOrder order) {
        if (!worker.obeys(order.token())) {
            return new WorkerOrders.LookAnswer(
                    OrderOutcome.FENCED, clockMs(), List.of(), List.of());
        }
        worker.mUntilMs = Math.max(worker.mUntilMs, order.leaseUntilMs());
        worker.mEnded.removeIf(e -> e.sequence() <= order.acknowledged());
        List<RunView> running = new ArrayList<>();
        worker.mRunning.forEach(
                r -> running.add(new RunView(r.task(), r.attempt(), "", AT_WORK, 0)));
        return new WorkerOrders.LookAnswer(OrderOutcome.DONE, clockMs(), running, worker.mEnded);
    }
}
