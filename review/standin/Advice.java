import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of the service that knows which minions may run a step of a queue. Like a usual server it
 * also answers a call whose caller has given up meanwhile.
 */
final class Advice implements Http.Handler {
    private static final int MAX_WAITING = 32;
    private static final int MAX_WORKERS = 100;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long mDecideMs;
    private final long mIntervalMs;
    private final long mValidMs;
    private final Set<String> mAllowedMachines;
    private Recorder mRecorder;
    private final AtomicInteger mWaiting = new AtomicInteger();
    private final AtomicLong mLast = new AtomicLong();
    private final Object mTurn = new Object();
    private final Map<String, Ticket> mTickets = new ConcurrentHashMap<>();

    private record Ticket(String step, String minion, long untilMs) {}

    /** Creates the service; it allows only the minions on these machines. */
    Advice(long decideMs, long intervalMs, long validMs, Set<String> machines) {
        mDecideMs = decideMs;
        mIntervalMs = intervalMs;
        mValidMs = validMs;
        mAllowedMachines = machines;
    }

    void setRecorder(Recorder recorder) {
        mRecorder = recorder;
    }

    /** Whether the queues of the deployment have advice. */
    boolean isUsed() {
        return mValidMs > 0;
    }

    /** The machines whose minions may run the steps; empty without advice. */
    Set<String> machines() {
        return mAllowedMachines;
    }

    /** The fields of a queue's advice in the configuration. */
    String fields() {
        return "\"decideMs\":" + mDecideMs + ",\"intervalMs\":" + mIntervalMs
                + ",\"validMs\":" + mValidMs;
    }

    @Override
    public Http.Reply handle(Http.Request request) throws Exception {
        JsonNode body = JSON.readTree(request.body());
        String step = body.path("phase").asText();
        int workers = body.path("workers").size();
        if (workers > MAX_WORKERS) {
            return Http.Reply.json(400, "{}");
        }
        if (mWaiting.incrementAndGet() > MAX_WAITING) {
            mWaiting.decrementAndGet();
            mRecorder.count("advice answered 429");
            return Http.Reply.json(429, "{}");
        }
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode allowed = answer.putArray("allowed");
        synchronized (mTurn) {
            mWaiting.decrementAndGet();
            Thread.sleep(mDecideMs + mIntervalMs * workers);
            for (JsonNode w : body.path("workers")) {
                String id = w.asText();
                String machine = id.replaceAll("^i-(.*)-\\d+$", "$1");
                if (mAllowedMachines.contains(machine)) {
                    String ticket = "t-" + mLast.incrementAndGet();
                    mTickets.put(ticket, new Ticket(step, id, mRecorder.nowMs() + mValidMs));
                    allowed.addArray().add(id).add(ticket);
                }
            }
        }
        mRecorder.line("advice for " + step + " on " + workers + " minions: " + allowed);
        return Http.Reply.json(200, answer.put("validMs", mValidMs).toString());
    }

    boolean isValid(String ticket, String step, String minion) {
        Ticket t = mTickets.get(ticket);
        return t != null
                && t.step().equals(step)
                && t.minion().equals(minion)
                && mRecorder.nowMs() <= t.untilMs();
    }
}
