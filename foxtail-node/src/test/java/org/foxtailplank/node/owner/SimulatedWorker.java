package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.CommandResponse;
import org.foxtailplank.port.WorkerClient.PollCommand;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.foxtailplank.port.WorkerClient.RunCommand;
import org.foxtailplank.port.WorkerClient.StartCommand;

/**
 * One incarnation of a worker by the platform's rules: it keeps the highest token, a lease on its
 * own clock, the ends that are not acknowledged, and which runs it was told to stop.
 */
final class SimulatedWorker {
    private static final long MAX_LEASE_MS = 6000;
    private static final int MAX_STOP_MS = 200;
    private static final int MAX_RUN_MS = 4000;
    private static final int MAX_ENDS = 500;
    private static final int MAX_RUNS = 3;
    private static final double MAX_DRIFT = 0.02;
    private static final double FAILED_SHARE = 0.06;
    private static final double UNHEALTHY_SHARE = 0.02;
    private static final int FULL_PERCENT = 100;

    private final FakeTime mTime;
    private final Random mRandom;
    private final SimulatedRuns mRuns;
    private final String mId;
    private final long mStartMs;
    private final long mClockZeroMs;
    private final double mClockRate;
    private final Map<TaskName, Integer> mRunning = new LinkedHashMap<>();
    private final Map<TaskName, Integer> mRejectedUpTo = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private final List<Runnable> mWaitingPolls = new ArrayList<>();
    private boolean mUp = true;
    private long mToken;
    private long mLeaseUntilMs;
    private long mLastEnd;

    private static final class End {
        final RunEnd mEnd;
        final long mAtMs;
        boolean mLapsedSince;

        End(RunEnd end, long atMs) {
            mEnd = end;
            mAtMs = atMs;
        }
    }

    SimulatedWorker(FakeTime time, Random random, SimulatedRuns runs, String id) {
        mTime = time;
        mRandom = random;
        mRuns = runs;
        mId = id;
        mStartMs = time.nowMs();
        mClockZeroMs = random.nextInt(100_000);
        mClockRate = 1 - random.nextDouble() * MAX_DRIFT;
    }

    String id() {
        return mId;
    }

    boolean isUp() {
        return mUp;
    }

    private long clockMs() {
        return mClockZeroMs + (long) ((mTime.nowMs() - mStartMs) * mClockRate);
    }

    /** Ends all runs if the lease has expired. */
    void update() {
        if (mUp && clockMs() > mLeaseUntilMs) {
            mEnds.forEach(e -> e.mLapsedSince = true);
            Map.copyOf(mRunning).forEach((t, a) -> end(t, a, RunOutcome.LAPSED));
        }
    }

    private void end(TaskName task, int attempt, RunOutcome outcome) {
        if (!mRunning.remove(task, attempt)) {
            return;
        }
        mRuns.ended(this, task, attempt, outcome.name());
        mRejectedUpTo.merge(task, attempt, Math::max);
        mLastEnd++;
        mEnds.add(new End(new RunEnd(mLastEnd, task, attempt, outcome, ""), mTime.nowMs()));
        List<Runnable> polls = List.copyOf(mWaitingPolls);
        mWaitingPolls.clear();
        polls.forEach(Runnable::run);
    }

    void crash() {
        update();
        mUp = false;
        mRuns.trace("crash of " + this);
        Map.copyOf(mRunning).forEach((t, a) -> mRuns.ended(this, t, a, "crashed"));
        mRunning.clear();
    }

    private boolean accepts(long token) {
        update();
        mToken = Math.max(mToken, token);
        return token == mToken;
    }

    private void renew(long untilMs) {
        long latestMs = clockMs() + MAX_LEASE_MS;
        mLeaseUntilMs = Math.max(mLeaseUntilMs, Math.min(untilMs, latestMs));
    }

    private CommandResponse answer(CommandOutcome outcome) {
        return new CommandResponse(outcome, clockMs());
    }

    CommandResponse start(StartCommand command) {
        if (mRandom.nextDouble() < UNHEALTHY_SHARE) {
            return answer(CommandOutcome.UNHEALTHY);
        }
        if (!accepts(command.run().token())) {
            return answer(CommandOutcome.FENCED);
        }
        renew(command.leaseUntilMs());
        TaskName task = command.run().task();
        int attempt = command.run().attempt();
        if (mRunning.getOrDefault(task, 0) == attempt) {
            return answer(CommandOutcome.DONE);
        }
        if (attempt <= mRejectedUpTo.getOrDefault(task, 0)) {
            return answer(CommandOutcome.OUTDATED);
        }
        if (mLeaseUntilMs <= clockMs()) {
            return answer(CommandOutcome.LEASE_OVER);
        }
        if (mRunning.size() >= MAX_RUNS) {
            return answer(CommandOutcome.NO_ROOM);
        }
        mRuns.started(this, task, attempt, command.run().token());
        mRunning.put(task, attempt);
        boolean standing = task.job().startsWith(TaskStartSimulation.STANDING_PREFIX);
        boolean fails = mRandom.nextDouble() < FAILED_SHARE;
        long runMs = 1 + mRandom.nextInt(MAX_RUN_MS);
        if (!standing || fails) {
            RunOutcome outcome = fails ? RunOutcome.FAILED : RunOutcome.DONE;
            mTime.after(
                    runMs,
                    () -> {
                        update();
                        if (mUp) {
                            end(task, attempt, outcome);
                        }
                    });
        }
        return answer(CommandOutcome.DONE);
    }

    CommandResponse stop(RunCommand command) {
        if (!accepts(command.token())) {
            return answer(CommandOutcome.FENCED);
        }
        mRejectedUpTo.merge(command.task(), command.attempt(), Math::max);
        mRuns.trace("stop " + command.task() + ' ' + command.attempt() + " on " + this);
        mTime.after(
                mRandom.nextInt(MAX_STOP_MS),
                () -> {
                    update();
                    if (mUp) {
                        end(command.task(), command.attempt(), RunOutcome.STOPPED);
                    }
                });
        return answer(CommandOutcome.DONE);
    }

    CommandResponse throttle(RunCommand command) {
        return answer(accepts(command.token()) ? CommandOutcome.DONE : CommandOutcome.FENCED);
    }

    void poll(PollCommand command, Consumer<PollResponse> reply) {
        if (!accepts(command.token())) {
            reply.accept(response(CommandOutcome.FENCED));
            return;
        }
        renew(command.leaseUntilMs());
        mEnds.removeIf(e -> acknowledge(e, command.acknowledged()));
        if (command.waitMs() == 0 || !mEnds.isEmpty()) {
            reply.accept(response(CommandOutcome.DONE));
            return;
        }
        boolean[] answered = new boolean[1];
        Runnable answer =
                () -> {
                    if (!answered[0] && mUp) {
                        answered[0] = true;
                        update();
                        reply.accept(response(CommandOutcome.DONE));
                    }
                };
        mWaitingPolls.add(() -> mTime.after(0, answer));
        mTime.after(command.waitMs(), answer);
    }

    private boolean acknowledge(End end, long position) {
        boolean acknowledged = end.mEnd.sequence() <= position;
        boolean counts = end.mEnd.outcome() == RunOutcome.DONE && !end.mLapsedSince;
        if (acknowledged && counts) {
            mRuns.doneAcknowledged(this, end.mEnd.task(), end.mAtMs);
        }
        return acknowledged;
    }

    private PollResponse response(CommandOutcome outcome) {
        if (outcome != CommandOutcome.DONE) {
            return new PollResponse(
                    outcome, WorkerIncarnation.UNKNOWN_START_MS, clockMs(), List.of(), List.of());
        }
        List<RunStatus> running = new ArrayList<>();
        mRunning.forEach((t, a) -> running.add(new RunStatus(t, a, "", FULL_PERCENT, 0)));
        List<RunEnd> ends = mEnds.stream().limit(MAX_ENDS).map(e -> e.mEnd).toList();
        return new PollResponse(
                outcome, WorkerIncarnation.UNKNOWN_START_MS, clockMs(), running, ends);
    }

    @Override
    public String toString() {
        return mId;
    }
}
