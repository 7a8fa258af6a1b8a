import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of a minion, one life of a machine; runs what it is told to start. */
final class Minion {
    private static final long HOLD_MAX_MS = 6000;
    private static final long STOP_MS = 200;

    final String mId;
    final Machine mMachine;
    private final World mWorld;
    private HttpServer mServer;
    private final long mStartMs = now();
    private final long mBorn = System.currentTimeMillis();
    private final String mKind;
    private long mFence;
    private long mLeaseUntilMs;
    private long mLastEnd;
    private boolean mDead;
    private long mSeq;
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mEnded = new HashMap<>();
    private final Map<Long, Object[]> mFinished = new LinkedHashMap<>();

    private static final class Run {
        String mTask;
        int mAttempt;
        long mStartMs;
        long mWorkMs;
        long mCpu;
        boolean mStanding;
        long mStopAtMs = Long.MAX_VALUE;
    }

    Minion(World world, Machine machine, String id) {
        mWorld = world;
        mMachine = machine;
        mId = id;
        mKind = machine.mKind;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    long clockMs() {
        return now() - mStartMs + 100_000;
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    String kind() {
        return mKind;
    }

    void start(int port) throws Exception {
        mServer = Web.serve(port, this::handle);
        mWorld.record(
                "minion " + mId + " of " + mMachine.mName + " starts, kind " + mMachine.mKind);
    }

    synchronized String entry() {
        ObjectNode entry = Web.object();
        entry.put("service", mMachine.mPool).put("address", "127.0.0.1:" + port());
        entry.put("zone", mMachine.mZone)
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready");
        entry.put("coldLeftMs", 0);
        entry.putObject("capacity").put("cpu", mMachine.mCpu).put("memMb", 65536).put("gpu", 0);
        entry.putArray("labels").add(mKind).add(mMachine.mRack);
        entry.put("clockMs", clockMs()).put("seq", ++mSeq);
        if (mWorld.mBornSent) {
            entry.put("born", mBorn);
        }
        return entry.toString();
    }

    /** Ends this life: everything that runs here ends, and nobody answers here any more. */
    synchronized void crash(String why) {
        mDead = true;
        for (Run r : mRuns.values()) {
            mWorld.record(
                    r.mTask
                            + " run "
                            + r.mAttempt
                            + " ends with minion "
                            + mId
                            + " ("
                            + why
                            + ") after "
                            + (now() - r.mStartMs)
                            + " ms");
        }
        mWorld.record("minion " + mId + " of " + mMachine.mName + " is gone: " + why);
        mRuns.clear();
        notifyAll();
        mServer.stop(0);
    }

    synchronized List<String> running() {
        List<String> tasks = new ArrayList<>();
        mRuns.values().forEach(r -> tasks.add(r.mTask));
        return tasks;
    }

    synchronized boolean isReady(String task) {
        return mRuns.values().stream()
                .anyMatch(
                        r ->
                                r.mTask.equals(task)
                                        && percent(r) == 100
                                        && r.mStopAtMs == Long.MAX_VALUE);
    }

    private Web.Reply handle(Web.Call call) throws Exception {
        synchronized (this) {
            if (mDead) {
                return null;
            }
            String expected = call.header("Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(mId)) {
                return Web.Reply.json(421, Web.object());
            }
            JsonNode body = call.json();
            long fence = body.path("fencingToken").asLong();
            if (fence < mFence) {
                return refused("fence");
            }
            mFence = fence;
            advance();
            return switch (call.path()) {
                case "/v1/run-start" -> runStart(body);
                case "/v1/run-stop" -> runStop(body);
                case "/v1/hold" -> hold(body);
                case "/v1/pace" -> ok();
                default -> Web.Reply.json(404, Web.object());
            };
        }
    }

    private Web.Reply ok() {
        return Web.Reply.json(200, Web.object().put("clockMs", clockMs()));
    }

    private Web.Reply refused(String reason) {
        return Web.Reply.json(409, Web.object().put("clockMs", clockMs()).put("reason", reason));
    }

    private void extendLease(JsonNode body) {
        if (body.has("untilMs")) {
            long until = Math.min(body.path("untilMs").asLong(), clockMs() + HOLD_MAX_MS);
            mLeaseUntilMs = Math.max(mLeaseUntilMs, until);
        }
    }

    private Web.Reply runStart(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Run known = mRuns.get(task);
        if (known != null && known.mAttempt == attempt) {
            return ok();
        }
        if (attempt <= mEnded.getOrDefault(task, 0) || known != null) {
            extendLease(body);
            return refused("old");
        }
        if (Math.max(mLeaseUntilMs, body.path("untilMs").asLong()) <= clockMs()) {
            return refused("late");
        }
        World.Spec spec = World.Spec.parse(body.path("spec").asText());
        long used = mRuns.values().stream().mapToLong(r -> r.mCpu).sum();
        extendLease(body);
        if (used + spec.cpu() > mMachine.mCpu) {
            return refused("room");
        }
        Run run = new Run();
        run.mTask = task;
        run.mAttempt = attempt;
        run.mStartMs = now();
        run.mWorkMs = spec.workMs();
        run.mCpu = spec.cpu();
        run.mStanding = spec.standing();
        mRuns.put(task, run);
        mWorld.started(this, task, attempt);
        mWorld.record(
                "minion "
                        + mId
                        + " of "
                        + mMachine.mName
                        + " starts "
                        + task
                        + " run "
                        + attempt
                        + " fence "
                        + mFence);
        return ok();
    }

    private Web.Reply runStop(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Run run = mRuns.get(task);
        if (run != null && run.mAttempt == attempt) {
            run.mStopAtMs = Math.min(run.mStopAtMs, now() + STOP_MS / 2);
            mWorld.record("minion " + mId + " is told to stop " + task + " run " + attempt);
        } else {
            mEnded.merge(task, attempt, Math::max);
        }
        return ok();
    }

    private static int percent(Run run) {
        long ran = now() - run.mStartMs;
        return run.mStanding
                ? (ran > 500 ? 100 : 0)
                : (int) Math.min(99, 100 * ran / Math.max(1, run.mWorkMs));
    }

    private Web.Reply hold(JsonNode body) throws InterruptedException {
        extendLease(body);
        long acknowledged = body.path("ackPosition").asLong();
        mFinished.keySet().removeIf(n -> n <= acknowledged);
        long untilMs = now() + Math.min(2000, body.path("waitMs").asLong());
        while (mFinished.isEmpty() && now() < untilMs && !mDead) {
            wait(Math.max(1, Math.min(20, untilMs - now())));
            advance();
        }
        if (mDead) {
            return null;
        }
        ObjectNode answer = Web.object().put("clockMs", clockMs());
        if (mWorld.mBornSent) {
            answer.put("born", mBorn);
        }
        ArrayNode running = answer.putArray("running");
        for (Run r : mRuns.values()) {
            running.addArray().add(r.mTask).add(r.mAttempt).add("").add(percent(r)).add(r.mCpu);
        }
        ArrayNode finished = answer.putArray("finished");
        mFinished.forEach(
                (n, f) ->
                        finished.addArray()
                                .add(n)
                                .add((String) f[0])
                                .add((Integer) f[1])
                                .add((String) f[2])
                                .add(""));
        return Web.Reply.json(200, answer);
    }

    /** Ends the runs whose work is done, that were told to stop, or whose lease is over. */
    synchronized void advance() {
        if (mDead) {
            return;
        }
        Iterator<Run> runs = mRuns.values().iterator();
        while (runs.hasNext()) {
            Run run = runs.next();
            String how = "";
            if (clockMs() > mLeaseUntilMs) {
                how = "lapsed";
            } else if (now() >= run.mStopAtMs) {
                how = "stopped";
            } else if (!run.mStanding && now() - run.mStartMs >= run.mWorkMs) {
                how = "done";
            }
            if (!how.isEmpty()) {
                runs.remove();
                mEnded.merge(run.mTask, run.mAttempt, Math::max);
                mFinished.put(++mLastEnd, new Object[] {run.mTask, run.mAttempt, how});
                mWorld.ended(run.mTask, run.mAttempt, how);
                mWorld.record(
                        "minion "
                                + mId
                                + " of "
                                + mMachine.mName
                                + ": "
                                + run.mTask
                                + " run "
                                + run.mAttempt
                                + " "
                                + how);
                notifyAll();
            }
        }
    }

    synchronized boolean isDead() {
        return mDead;
    }
}
