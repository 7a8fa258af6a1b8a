package review.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Consumers hand in jobs that last. Seven in twenty leave if they have no answer within 300 ms, and
 * cancel their jobs; the others repeat what isn't answered. Accepted jobs are cancelled after two
 * seconds. Meanwhile the store loses the answers of some writes and does
 * these writes late; with TROUBLE=0 it doesn't.
 *
 * <p>The check is UNASKED: no subtask of a job may run on {@code stopMs} after {@code cancel_ms}
 * after its cancelling was acknowledged, with no impairment near.
 */
public final class WithdrawnJobCase {
    private static final String SERVICE = "ledger";
    private static final int MACHINES = 6;
    private static final long MACHINE_CPU = 64_000;
    private static final int NODES = 3;
    private static final int JOBS_PER_S = 12;
    private static final int TRAFFIC_S = 12;
    private static final int WARM_UP_JOBS = 36;
    private static final int FIRST_WARM_UP = 100_000;

    /** Seven in twenty consumers leave: the share of 0.35 that the site's day has for 12 s. */
    private static final int LEAVING = 7;

    private static final int LEAVING_OF = 20;

    /** Those consumers leave within half of the objective of 600 ms. */
    private static final long PATIENCE_MS = 300;

    private static final long DEADLINE_MS = 3000;
    private static final int TRIES = 5;

    private static final long LOST_FROM_S = 3;
    private static final long LOST_FOR_MS = 4500;
    private static final double LOST_SHARE = 0.35;
    private static final long STAY_MS = 2000;
    private static final int DELETE_TRIES = 40;
    private static final long DELETE_PAUSE_MS = 200;

    /** After the last late write, {@code contactMs}, {@code cancel_ms} and {@code stopMs}. */
    private static final long SETTLE_MS = 6000 + 3000 + 3000 + 200;

    private static final long WATCH_MS = 3000;

    private final Recorder mRecorder;
    private final Platform mPlatform;
    private final Nodes mNodes;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    /** The status by which the cancelling of each job was acknowledged. */
    private final Map<String, Integer> mCancelled = new ConcurrentHashMap<>();

    private WithdrawnJobCase(Recorder recorder, Platform platform, Nodes nodes) {
        mRecorder = recorder;
        mPlatform = platform;
        mNodes = nodes;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Recorder recorder = new Recorder(Path.of(args[0]));
                Platform platform = new Platform(recorder);
                Nodes nodes = new Nodes(platform, recorder)) {
            exit = new WithdrawnJobCase(recorder, platform, nodes).run(trouble) ? 0 : 1;
            recorder.line("exit status %d", exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private boolean run(boolean trouble) throws IOException, InterruptedException {
        mPlatform.configure(List.of(SERVICE), "admin");
        for (int i = 0; i < MACHINES; i++) {
            mPlatform.addMachine("m-" + i, "zone" + i % 3, SERVICE, MACHINE_CPU);
        }
        for (int i = 0; i < NODES; i++) {
            mNodes.add("edge-" + i, "zone" + i);
        }
        mNodes.awaitReady(30_000);
        warmUp();
        long startMs = mRecorder.nowMs();
        long lostEndMs = startMs + 1000 * LOST_FROM_S + LOST_FOR_MS;
        for (int i = 0; i < JOBS_PER_S * TRAFFIC_S; i++) {
            if (trouble && i == JOBS_PER_S * LOST_FROM_S) {
                mPlatform.setLostWrites(LOST_SHARE);
                mThreads.execute(() -> endLossAt(lostEndMs));
            }
            int number = i;
            boolean leaves = number * LEAVING % LEAVING_OF < LEAVING;
            mThreads.execute(() -> handInAndCancel(number, leaves));
            sleepUntil(startMs + 1000L * (i + 1) / JOBS_PER_S);
        }
        mThreads.shutdown();
        if (!mThreads.awaitTermination(40, TimeUnit.SECONDS)) {
            throw new IOException("the consumers aren't done in time");
        }
        sleepUntil(Math.max(mRecorder.nowMs(), lostEndMs) + SETTLE_MS);
        return check();
    }

    /** Hands in jobs of which each consumer waits, so that no process is slow for being new. */
    private void warmUp() {
        for (int i = 0; i < WARM_UP_JOBS; i++) {
            int number = FIRST_WARM_UP + i;
            mThreads.execute(() -> handInAndCancel(number, false));
            sleepUntil(mRecorder.nowMs() + 1000 / JOBS_PER_S);
        }
        sleepUntil(mRecorder.nowMs() + 2 * STAY_MS);
    }

    private void endLossAt(long ms) {
        sleepUntil(ms);
        mPlatform.setLostWrites(0);
    }

    private void sleepUntil(long ms) {
        try {
            Thread.sleep(Math.max(0, ms - mRecorder.nowMs()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handInAndCancel(int number, boolean leaves) {
        String id = String.format("5c0e7a21%08x", number);
        String body =
                """
                {"spec":"lasts 0 500","phases":[{"count":2,"cpu":500,"memMb":16,"estimateMs":900,
                "longRunning":true}]}
                """;
        int node = number % NODES;
        int status = 0;
        for (int i = 0; i < (leaves ? 1 : TRIES) && !isSuccess(status); i++) {
            long patienceMs = leaves ? PATIENCE_MS : DEADLINE_MS;
            status = send("POST", (node + i) % NODES, id, body, patienceMs);
        }
        if (isSuccess(status)) {
            sleepUntil(mRecorder.nowMs() + STAY_MS);
        } else if (!leaves) {
            return;
        }
        for (int i = 1; i <= DELETE_TRIES; i++) {
            int answer = send("DELETE", (node + i) % NODES, id, "", DEADLINE_MS);
            if (answer == 410 || isSuccess(answer)) {
                mCancelled.put(id, answer);
                return;
            }
            sleepUntil(mRecorder.nowMs() + DELETE_PAUSE_MS);
        }
    }

    private static boolean isSuccess(int status) {
        return status >= 200 && status < 300;
    }

    private int send(String method, int node, String id, String body, long patienceMs) {
        Nodes.Node target = mNodes.all().get(node);
        String uri = "http://127.0.0.1:" + target.front() + "/" + SERVICE + "/" + id;
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri))
                        .header("Content-Type", "application/json")
                        .header("Deadline-Ms", "3000")
                        .timeout(Duration.ofMillis(patienceMs))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        int status = 0;
        try {
            status = mHttp.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            // Without an answer the status is 0.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mRecorder.line("consumer: %s %s at %s: %d", method, id, target.name(), status);
        return status;
    }

    private boolean check() {
        long endMs = mRecorder.nowMs() + WATCH_MS;
        List<String> running = new ArrayList<>(mCancelled.keySet());
        while (mRecorder.nowMs() < endMs) {
            running.removeIf(id -> mPlatform.running(id) == 0);
            sleepUntil(mRecorder.nowMs() + 50);
        }
        for (String id : running) {
            mRecorder.line(
                    "UNASKED: job %s has %d subtasks at work, its cancelling was acknowledged by %d",
                    id, mPlatform.running(id), mCancelled.get(id));
        }
        mRecorder.line(
                "check: %d jobs cancelled, %d of them still run",
                mCancelled.size(), running.size());
        return running.isEmpty();
    }
}
