package org.foxtailplank.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One life of a machine: runs subtasks under a lease. The text of a job is {@code MS CPU}: how long
 * each subtask works, or {@code last} for one that lasts, and its thousandths of a core.
 */
final class Minion {
    private static final long STOP_MS = 60;
    private static final long STARTUP_MS = 200;
    private static final int MAX_ENDS = 500;

    private final String mId;
    private final long mMilliCores;
    private final long mHoldMaxMs;
    private final Record mRecord;
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mClosed = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private long mFence;
    private long mUntilMs;
    private long mLastEnd;
    private boolean mGone;

    private static final class Run {
        int mAttempt;
        long mCpu;
        long mSinceMs;
        long mWorkMs;
        long mStopMs = Long.MAX_VALUE;
    }

    private record End(long number, String task, int attempt, String how) {}

    Minion(String id, long milliCores, long holdMaxMs, Record record) {
        mId = id;
        mMilliCores = milliCores;
        mHoldMaxMs = holdMaxMs;
        mRecord = record;
        Thread ticker = new Thread(this::tick);
        ticker.setDaemon(true);
        ticker.start();
    }

    String id() {
        return mId;
    }

    private static long clockMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Ends everything that runs, as the end of the machine does. */
    synchronized void terminate() {
        mGone = true;
        mRuns.forEach((task, r) -> mRecord.line("gone " + task + " " + r.mAttempt + " " + mId));
        mRuns.clear();
        notifyAll();
    }

    synchronized List<String> running() {
        return List.copyOf(mRuns.keySet());
    }

    private void tick() {
        try {
            synchronized (this) {
                while (!mGone) {
                    wait(20);
                    endDueRuns();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endDueRuns() {
        long now = clockMs();
        boolean lapsed = now >= mUntilMs;
        boolean ended = false;
        for (Map.Entry<String, Run> e : List.copyOf(mRuns.entrySet())) {
            Run run = e.getValue();
            String how = "";
            if (lapsed) {
                how = "lapsed";
            } else if (run.mWorkMs < now - run.mSinceMs) {
                how = "done";
            } else if (run.mStopMs <= now) {
                how = "stopped";
            }
            if (!how.isEmpty()) {
                mRuns.remove(e.getKey());
                mClosed.merge(e.getKey(), run.mAttempt, Math::max);
                mEnds.add(new End(++mLastEnd, e.getKey(), run.mAttempt, how));
                mRecord.line("end " + e.getKey() + " " + run.mAttempt + " " + mId + " " + how);
                ended = true;
            }
        }
        if (ended) {
            notifyAll();
        }
    }

    Web.Answer handle(Web.Request request) throws IOException, InterruptedException {
        if (!request.header("Expect-Instance").isEmpty()
                && !request.header("Expect-Instance").equals(mId)) {
            return answer(421, "");
        }
        JsonNode body = request.json();
        synchronized (this) {
            if (mGone) {
                return Web.Answer.NONE;
            }
            long fence = body.path("fencingToken").asLong();
            if (fence < mFence) {
                return answer(409, "fence");
            }
            mFence = fence;
            return switch (request.path()) {
                case "/v1/run-start" -> start(body);
                case "/v1/run-stop" -> stop(body);
                case "/v1/hold" -> hold(body);
                default -> answer(200, "");
            };
        }
    }

    private void renew(JsonNode body) {
        long until = Math.min(body.path("untilMs").asLong(), clockMs() + mHoldMaxMs);
        mUntilMs = Math.max(mUntilMs, until);
    }

    private Web.Answer start(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        renew(body);
        Run known = mRuns.get(task);
        if (known != null && known.mAttempt == attempt) {
            return answer(200, "");
        }
        if (known != null || attempt <= mClosed.getOrDefault(task, 0)) {
            return answer(409, "old");
        }
        if (clockMs() >= mUntilMs) {
            return answer(409, "late");
        }
        String[] spec = body.path("spec").asText().split(" ");
        Run run = new Run();
        run.mAttempt = attempt;
        run.mCpu = Long.parseLong(spec[1]);
        run.mSinceMs = clockMs();
        run.mWorkMs = spec[0].equals("last") ? Long.MAX_VALUE : Long.parseLong(spec[0]);
        if (mRuns.values().stream().mapToLong(r -> r.mCpu).sum() + run.mCpu > mMilliCores) {
            return answer(409, "room");
        }
        mRuns.put(task, run);
        mRecord.line("run " + task + " " + attempt + " " + mId + " fence " + mFence);
        return answer(200, "");
    }

    private Web.Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Run run = mRuns.get(task);
        if (run != null && run.mAttempt <= attempt) {
            run.mStopMs = Math.min(run.mStopMs, clockMs() + STOP_MS);
        }
        mClosed.merge(task, attempt, Math::max);
        return answer(200, "");
    }

    private Web.Answer hold(JsonNode body) throws InterruptedException {
        renew(body);
        long acknowledged = body.path("ackPosition").asLong();
        mEnds.removeIf(e -> e.number() <= acknowledged);
        long until = clockMs() + body.path("waitMs").asLong();
        while (mEnds.isEmpty() && clockMs() < until && !mGone) {
            wait(Math.max(1, until - clockMs()));
        }
        if (mGone) {
            return Web.Answer.NONE;
        }
        ObjectNode lists = Web.JSON.createObjectNode().put("clockMs", clockMs());
        ArrayNode running = lists.putArray("running");
        mRuns.forEach(
                (task, r) -> {
                    long whole = r.mWorkMs == Long.MAX_VALUE ? STARTUP_MS : r.mWorkMs;
                    long percent = Math.min(100, 100 * (clockMs() - r.mSinceMs) / (whole + 1));
                    running.addArray().add(task).add(r.mAttempt).add("").add(percent).add(r.mCpu);
                });
        ArrayNode finished = lists.putArray("finished");
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
        return Web.Answer.json(200, lists);
    }

    private static Web.Answer answer(int status, String reason) {
        ObjectNode body = Web.JSON.createObjectNode().put("clockMs", clockMs());
        return Web.Answer.json(status, reason.isEmpty() ? body : body.put("reason", reason));
    }
}
