package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.TaskId;
import org.foxtailplank.platform.TaskReply;
import org.foxtailplank.platform.TaskReport;
import org.foxtailplank.platform.TaskReport.Status;
import org.foxtailplank.platform.TaskRequest;
import org.foxtailplank.platform.TaskStart;
import org.foxtailplank.platform.WorkerList;
import org.foxtailplank.platform.WorkerReport;
import org.foxtailplank.platform.Workers;

/**
 * Fake of the workers in docs/PLATFORM.md; by default a task runs for ten seconds or until its
 * lease expires.
 */
final class FakeTaskWorkers {
    private static final Duration TASK_TIME = Duration.ofSeconds(10);

    private final FakeClock mClock;
    private final List<Run> mRuns = new ArrayList<>();
    private final List<VmId> mVms;
    private Duration mTaskTime = TASK_TIME;
    private boolean mUnavailable;
    private int mResponsesToLose;
    private Optional<List<Runnable>> mDelayedStarts = Optional.empty();

    /** One attempt of a task. */
    private static final class Run {
        private VmId mWorker;
        private TaskStart mStart;
        private Instant mStartedAt;
        private Instant mLeaseEnd;
        private Optional<Instant> mStoppedAt = Optional.empty();
    }

    FakeTaskWorkers(FakeClock clock, List<VmId> vms) {
        mClock = clock;
        mVms = vms;
    }

    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    void loseResponses(int times) {
        mResponsesToLose = times;
    }

    /** Delays start requests from now on; their senders get no response. */
    void delayStarts() {
        mDelayedStarts = Optional.of(new ArrayList<>());
    }

    /** Delivers the delayed start requests. */
    void deliverDelayedStarts() {
        mDelayedStarts.orElseThrow().forEach(Runnable::run);
        mDelayedStarts = Optional.empty();
    }

    void setTaskTime(Duration time) {
        mTaskTime = time;
    }

    /** Returns the number of attempts started so far. */
    int starts() {
        return mRuns.size();
    }

    /**
     * Returns attempts that started while an earlier attempt of the same task was still running.
     */
    List<String> overlappingRuns() {
        List<String> found = new ArrayList<>();
        for (Run a : mRuns) {
            for (Run b : mRuns) {
                boolean same = a.mStart.task().equals(b.mStart.task());
                boolean before = a.mStart.attempt() < b.mStart.attempt();
                if (same && before && end(a).isAfter(b.mStartedAt)) {
                    found.add(a.mStart.task().text() + " attempt " + b.mStart.attempt());
                }
            }
        }
        return found;
    }

    long running(VmId vm) {
        return mRuns.stream()
                .filter(r -> r.mWorker.equals(vm) && status(r) == Status.RUNNING)
                .count();
    }

    Workers client(Interruption interruption) {
        return new Workers() {
            @Override
            public CompletionStage<WorkerList> list(Optional<ZoneId> zone) {
                return mUnavailable ? unavailable() : CompletableFuture.completedFuture(reports());
            }

            @Override
            public CompletionStage<TaskReply> start(VmId worker, TaskStart start) {
                if (mDelayedStarts.isPresent()) {
                    mDelayedStarts.get().add(() -> started(worker, start));
                    return responseLost();
                }
                return call(interruption, () -> started(worker, start));
            }

            @Override
            public CompletionStage<TaskReply> act(
                    VmId worker, TaskId task, long attempt, TaskRequest request) {
                return call(interruption, () -> acted(worker, task, attempt, request));
            }

            @Override
            public CompletionStage<TaskReply> renew(
                    VmId worker, TaskId task, long attempt, Duration lease) {
                return call(interruption, () -> renewed(worker, task, attempt, lease));
            }
        };
    }

    private CompletionStage<TaskReply> call(
            Interruption interruption, java.util.function.Supplier<TaskReply> effect) {
        interruption.beforeCall();
        if (mUnavailable) {
            return unavailable();
        }
        TaskReply reply = effect.get();
        interruption.afterCall();
        if (mResponsesToLose > 0) {
            mResponsesToLose--;
            return responseLost();
        }
        return CompletableFuture.completedFuture(reply);
    }

    private TaskReply started(VmId worker, TaskStart start) {
        Optional<Run> known = find(worker, start.task());
        if (known.isPresent() && known.get().mStart.attempt() >= start.attempt()) {
            boolean same = known.get().mStart.attempt() == start.attempt();
            return same ? TaskReply.ACCEPTED : TaskReply.OTHER_ATTEMPT;
        }
        Run run = new Run();
        run.mWorker = worker;
        run.mStart = start;
        run.mStartedAt = mClock.instant();
        run.mLeaseEnd = run.mStartedAt.plus(start.lease());
        mRuns.add(run);
        return TaskReply.ACCEPTED;
    }

    private TaskReply acted(VmId worker, TaskId task, long attempt, TaskRequest request) {
        Optional<Run> run = find(worker, task);
        if (run.isEmpty() || run.get().mStart.attempt() != attempt) {
            return run.isEmpty() ? TaskReply.UNKNOWN_TASK : TaskReply.OTHER_ATTEMPT;
        }
        if (request != TaskRequest.THROTTLE && status(run.get()) == Status.RUNNING) {
            run.get().mStoppedAt = Optional.of(mClock.instant());
        }
        return TaskReply.ACCEPTED;
    }

    private TaskReply renewed(VmId worker, TaskId task, long attempt, Duration lease) {
        Optional<Run> run = find(worker, task);
        if (run.isEmpty() || run.get().mStart.attempt() != attempt) {
            return run.isEmpty() ? TaskReply.UNKNOWN_TASK : TaskReply.OTHER_ATTEMPT;
        }
        if (status(run.get()) == Status.RUNNING) {
            run.get().mLeaseEnd = mClock.instant().plus(lease);
        }
        return TaskReply.ACCEPTED;
    }

    private Optional<Run> find(VmId worker, TaskId task) {
        return mRuns.stream()
                .filter(r -> r.mWorker.equals(worker) && r.mStart.task().equals(task))
                .reduce((first, second) -> second);
    }

    private Instant end(Run run) {
        Instant done = run.mStartedAt.plus(mTaskTime);
        Instant end = done.isBefore(run.mLeaseEnd) ? done : run.mLeaseEnd;
        return run.mStoppedAt.filter(s -> s.isBefore(end)).orElse(end);
    }

    private Status status(Run run) {
        if (mClock.instant().isBefore(end(run))) {
            return Status.RUNNING;
        }
        if (run.mStoppedAt.isPresent()) {
            return Status.STOPPED;
        }
        return end(run).equals(run.mLeaseEnd) ? Status.LOST : Status.SUCCEEDED;
    }

    private WorkerList reports() {
        List<WorkerReport> workers = new ArrayList<>();
        for (VmId vm : mVms) {
            List<TaskReport> tasks =
                    mRuns.stream()
                            .filter(r -> r.mWorker.equals(vm))
                            .map(
                                    r ->
                                            new TaskReport(
                                                    r.mStart.task(),
                                                    r.mStart.attempt(),
                                                    status(r),
                                                    1,
                                                    1))
                            .toList();
            WorkerReport.Usage usage = new WorkerReport.Usage(tasks.size(), tasks.size());
            workers.add(new WorkerReport(vm, TestFleet.ZONE, tasks, usage));
        }
        return new WorkerList(mClock.instant(), workers);
    }

    private static <T> CompletionStage<T> responseLost() {
        return CompletableFuture.failedFuture(
                new PlatformException("the response was lost", Effect.UNKNOWN));
    }

    private static <T> CompletionStage<T> unavailable() {
        return CompletableFuture.failedFuture(
                new PlatformException("the platform is unavailable", Effect.NONE));
    }
}
