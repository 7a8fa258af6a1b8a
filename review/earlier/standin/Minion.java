package review.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import review.standin.Server.Answer;
import review.standin.Server.Request;

/**
 * One life of a machine: runs subtasks under a lease and lists their ends until acknowledged.
 *
 * <p>The specification of a subtask is {@code work MS CPU}, or {@code lasts 0 CPU} if it runs until
 * it is stopped.
 */
final class Minion implements AutoCloseable {
    private static final int MAX_ENDS = 500;
    private static final long STOP_MS = 60;
    private static final long STARTUP_MS = 200;
    private static final long MAX_LEASE_MS = 6000;
    private static final long MAX_WAIT_MS = 2000;

    private final String mId;
    private final long mCpu;
    private final Recorder mRecorder;
    private final Set<String> mDone;
    private final Server mServer;
    private final long mBornNs = System.nanoTime();
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mClosedAttempts = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private long mFence;
    private long mLeaseUntilMs;
    private long mLastEnd;
    private long mUsedCpu;
    private boolean mOver;

    private static final class Run {
        String mTask;
        int mAttempt;
        long mCpu;
        long mStartedMs;
        long mDurationMs;
        long mStopAtMs = Long.MAX_VALUE;
    }

    private record End(long number, String task, int attempt, String how) {}

    /** Begins a life; subtasks that end as done are added to {@code done}. */
    Minion(
            String id, long cpu, ExecutorService threads, Recorder recorder, Set<String> done)
            throws IOException {
        mId = id;
        mCpu = cpu;
        mRecorder = recorder;
        mDone = done;
        mServer = new Server(threads, this::handle);
    }

    String id() {
        return mId;
    }

    String address() {
        return mServer.address();
    }

    synchronized long clockMs() {
        return 1000 + (System.nanoTime() - mBornNs) / 1_000_000;
    }

    synchronized long usedCpu() {
        return mUsedCpu;
    }

    /** Returns the subtasks at work. */
    synchronized List<String> running() {
        return List.copyOf(mRuns.keySet());
    }

    /** Ends the runs that are over; called every few milliseconds. */
    synchronized void tick() {
        long now = clockMs();
        for (Run run : List.copyOf(mRuns.values())) {
            if (now >= mLeaseUntilMs) {
                end(run, "lapsed");
            } else if (now >= run.mStopAtMs) {
                end(run, "stopped");
            } else if (now - run.mStartedMs >= run.mDurationMs) {
                end(run, "done");
            }
        }
    }

    private void end(Run run, String how) {
        mRuns.remove(run.mTask);
        mUsedCpu -= run.mCpu;
        mClosedAttempts.merge(run.mTask, run.mAttempt, Math::max);
        if (how.equals("done")) {
            mDone.add(run.mTask);
        }
        mEnds.add(new End(++mLastEnd, run.mTask, run.mAttempt, how));
        mRecorder.line("%s: run %s %d ended %s", mId, run.mTask, run.mAttempt, how);
        notifyAll();
    }

    private Answer handle(Request request) throws IOException, InterruptedException {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            return Answer.empty(421);
        }
        JsonNode body = request.json();
        synchronized (this) {
            if (mOver) {
                return null;
            }
            long fence = body.path("fencingToken").asLong();
            if (fence < mFence) {
                return refusal("fence");
            }
            mFence = fence;
            return switch (request.path()) {
                case "/v1/run-start" -> start(body);
                case "/v1/run-stop" -> stop(body);
                case "/v1/hold" -> hold(body);
                case "/v1/pace" -> Answer.json(200, answer());
                default -> Answer.empty(404);
            };
        }
    }

    private ObjectNode answer() {
        return Server.JSON.createObjectNode().put("clockMs", clockMs());
    }

    private Answer refusal(String reason) {
        return Answer.json(409, answer().put("reason", reason));
    }

    private void extendLease(JsonNode body) {
        long untilMs = Math.min(body.path("untilMs").asLong(), clockMs() + MAX_LEASE_MS);
        mLeaseUntilMs = Math.max(mLeaseUntilMs, untilMs);
    }

    private Answer start(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        String[] words = body.path("spec").asText().split(" ");
        extendLease(body);
        Run known = mRuns.get(task);
        if (known != null && known.mAttempt == attempt) {
            return Answer.json(200, answer());
        }
        if (known != null || attempt <= mClosedAttempts.getOrDefault(task, 0)) {
            return refusal("old");
        }
        if (clockMs() >= mLeaseUntilMs) {
            return refusal("late");
        }
        Run run = new Run();
        run.mTask = task;
        run.mAttempt = attempt;
        run.mStartedMs = clockMs();
        run.mDurationMs = words[0].equals("lasts") ? Long.MAX_VALUE : Long.parseLong(words[1]);
        run.mCpu = Long.parseLong(words[2]);
        if (mUsedCpu + run.mCpu > mCpu) {
            return refusal("room");
        }
        mRuns.put(task, run);
        mUsedCpu += run.mCpu;
        mRecorder.line(
                "%s: run %s %d started, fence %d, cpu in use %d of %d",
                mId, task, attempt, mFence, mUsedCpu, mCpu);
        return Answer.json(200, answer());
    }

    private Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Run run = mRuns.get(task);
        if (run != null && run.mAttempt <= attempt) {
            run.mStopAtMs = Math.min(run.mStopAtMs, clockMs() + STOP_MS);
            mRecorder.line("%s: run %s %d told to stop", mId, task, attempt);
        }
        mClosedAttempts.merge(task, attempt, Math::max);
        return Answer.json(200, answer());
    }

    private Answer hold(JsonNode body) throws InterruptedException {
        extendLease(body);
        long acknowledged = body.path("ackPosition").asLong();
        mEnds.removeIf(e -> e.number() <= acknowledged);
        long untilMs = clockMs() + Math.min(MAX_WAIT_MS, body.path("waitMs").asLong());
        for (long left = untilMs - clockMs();
                mEnds.isEmpty() && left > 0 && !mOver;
                left = untilMs - clockMs()) {
            wait(left);
        }
        if (mOver) {
            return null;
        }
        ObjectNode answer = answer();
        ArrayNode running = answer.putArray("running");
        for (Run r : mRuns.values()) {
            long wholeMs = r.mDurationMs == Long.MAX_VALUE ? STARTUP_MS : r.mDurationMs;
            long percent = 100 * (clockMs() - r.mStartedMs) / Math.max(1, wholeMs);
            running.addArray()
                    .add(r.mTask)
                    .add(r.mAttempt)
                    .add("")
                    .add(Math.min(100, percent))
                    .add(0);
        }
        ArrayNode finished = answer.putArray("finished");
        mEnds.stream()
                .limit(MAX_ENDS)
                .forEach(
                        e ->
                                finished.addArray()
                                        .add(e.number())
                                        .add(e.task())
                                        .add(e.attempt())
                                        .add(e.how())
                                        .add(""));
        return Answer.json(200, answer);
    }

    /** Ends this life with all that runs. */
    @Override
    public void close() {
        synchronized (this) {
            mOver = true;
            mRuns.values()
                    .forEach(
                            r ->
                                    mRecorder.line(
                                            "%s: run %s %d gone with its machine",
                                            mId, r.mTask, r.mAttempt));
            mRuns.clear();
            mUsedCpu = 0;
            notifyAll();
        }
        mServer.close();
    }
}
