package review.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A consumer that hands jobs in and asks for their state, at each node in turn. */
public final class Consumer {
    private static final int DEADLINE_MS = 3000;
    private static final int TRIES = 5;
    private static final long RETRY_MS = 300;
    private static final int ASKED_NODES = 3;

    private final Nodes mNodes;
    private final Recorder mRecorder;
    private final AtomicInteger mNext = new AtomicInteger();
    private final Map<String, String> mAccepted = new ConcurrentHashMap<>();
    private final Map<String, Integer> mSubtasks = new ConcurrentHashMap<>();
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    public Consumer(Nodes nodes, Recorder recorder) {
        mNodes = nodes;
        mRecorder = recorder;
    }

    /** Returns how many subtasks an accepted job has. */
    public int subtasks(String id) {
        return mSubtasks.get(id);
    }

    /** Returns the accepted jobs with their services. */
    public Map<String, String> accepted() {
        return mAccepted;
    }

    /**
     * Hands in a job of one step; a try without an answer and a refused one are repeated at the
     * next node.
     *
     * @return whether it was accepted
     */
    public boolean submit(String service, String id, int count, long cpu, long workMs) {
        return submit(service, id, count, cpu, workMs, "");
    }

    /**
     * Hands in a job with further fields.
     *
     * @param fields further fields of the job, each after a comma
     */
    public boolean submit(
            String service, String id, int count, long cpu, long workMs, String fields) {
        String step =
                """
                {"count":%d,"cpu":%d,"memMb":16,"estimateMs":%d}\
                """
                        .formatted(count, cpu, workMs);
        String body =
                """
                {"spec":"work %d %d","phases":[%s]%s}
                """
                        .formatted(workMs, cpu, step, fields);
        for (int i = 0; i < TRIES; i++) {
            int status = send("POST", nextNode(), service, id, body).status();
            if (status >= 200 && status < 300) {
                mSubtasks.put(id, count);
                mAccepted.put(id, service);
                return true;
            }
            pause(RETRY_MS);
        }
        return false;
    }

    /** Asks for all accepted jobs at the same time, for each at up to three nodes. */
    public Map<String, Reply> states() throws InterruptedException {
        Map<String, Reply> replies = new ConcurrentHashMap<>();
        ExecutorService threads = Executors.newFixedThreadPool(8);
        for (Map.Entry<String, String> job : mAccepted.entrySet()) {
            threads.execute(() -> replies.put(job.getKey(), ask(job.getValue(), job.getKey())));
        }
        threads.shutdown();
        threads.awaitTermination(60, TimeUnit.SECONDS);
        return replies;
    }

    private Reply ask(String service, String id) {
        Reply reply = new Reply(0, "");
        for (int i = 0; i < ASKED_NODES && reply.status() != 200; i++) {
            reply = state(service, id);
        }
        return reply;
    }

    /** Returns the answer to a question for a job's state. */
    public Reply state(String service, String id) {
        return send("GET", nextNode(), service, id, "");
    }

    /** An answer; the status is 0 if there was none. */
    public record Reply(int status, String body) {
        public boolean isCompleted() {
            return body.contains("\"completed\"");
        }
    }

    private Nodes.Node nextNode() {
        List<Nodes.Node> nodes = mNodes.all();
        for (int i = 0; ; i++) {
            Nodes.Node node = nodes.get(Math.floorMod(mNext.getAndIncrement(), nodes.size()));
            if (node.isAlive() || i >= nodes.size()) {
                return node;
            }
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Reply send(String method, Nodes.Node node, String service, String id, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + node.front()
                                                + "/"
                                                + service
                                                + "/"
                                                + id))
                        .header("Content-Type", "application/json")
                        .header("Deadline-Ms", Integer.toString(DEADLINE_MS))
                        .timeout(Duration.ofMillis(DEADLINE_MS))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        Reply reply;
        try {
            HttpResponse<String> answer =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofString());
            reply = new Reply(answer.statusCode(), answer.body());
        } catch (IOException e) {
            reply = new Reply(0, String.valueOf(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reply = new Reply(0, String.valueOf(e));
        }
        mRecorder.line(
                "consumer: %s /%s/%s at %s: %d %s",
                method, service, id, node.name(), reply.status(), reply.body().strip());
        return reply;
    }
}
