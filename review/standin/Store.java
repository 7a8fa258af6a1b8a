import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
final class Store implements Http.Handler {
    /** Limits of an append; DEPLOY.md shows these values. */
    static final int RECORD_BYTES = 262_144;

    static final int REQUEST_BYTES = 2_097_152;
    private static final int KEPT_APPENDS = 5;
    private static final long APPEND_MS = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Partition> mPartitions = new HashMap<>();
    private final Recorder mRecorder;

    private volatile boolean mDown;

    Store(Recorder recorder) {
        mRecorder = recorder;
    }

    /** While the store is down, it answers 503 and does nothing. */
    void setDown(boolean down) {
        mDown = down;
    }

    private static final class Partition {
        final List<byte[]> mRecords = new ArrayList<>();
        final Map<String, Producer> mProducers = new HashMap<>();
        final Map<String, Keyed> mNewest = new LinkedHashMap<>();
        long mFreeAtMs;
    }

    private static final class Producer {
        long mEpoch = -1;
        long mNextSeq = -1;
        final LinkedHashMap<Long, long[]> mLast = new LinkedHashMap<>();
    }

    private record Keyed(long offset, byte[] value) {}

    private synchronized Partition partition(String topic, String part) {
        return mPartitions.computeIfAbsent(topic + '/' + part, k -> new Partition());
    }

    /** Writes a key as the operator or a server does. */
    void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
        record.put((byte) name.length).put(name).put(text);
        Partition p = partition(topic, "0");
        synchronized (p) {
            add(p, topic, List.of(record.array()));
        }
    }

    private static long add(Partition p, String topic, List<byte[]> records) {
        long offset = p.mRecords.size();
        for (byte[] r : records) {
            if (topic.startsWith("keyed.")) {
                int valueAt = 1 + (r[0] & 0xff);
                String key = new String(r, 1, valueAt - 1, StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(r, valueAt, r.length);
                p.mNewest.remove(key);
                if (value.length > 0) {
                    p.mNewest.put(key, new Keyed(p.mRecords.size(), value));
                }
            }
            p.mRecords.add(r);
        }
        p.notifyAll();
        return offset;
    }

    @Override
    public Http.Reply handle(Http.Request request) throws Exception {
        if (mDown) {
            mRecorder.count("store: answered 503 while down");
            return new Http.Reply(503, new byte[0]);
        }
        String topic = request.query("topic", "");
        Partition p = partition(topic, request.query("part", "0"));
        switch (request.path()) {
            case "/v1/log-append":
                return append(request, topic, p);
            case "/v1/log-read":
                return read(request, p);
            case "/v1/log-newest":
                return newest(request, p);
            default:
                return new Http.Reply(404, new byte[0]);
        }
    }

    private Http.Reply append(Http.Request request, String topic, Partition p) throws Exception {
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            return new Http.Reply(403, new byte[0]);
        }
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(request.body());
        int sum = 0;
        int largest = 0;
        while (in.remaining() >= 4) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            records.add(record);
            sum += record.length;
            largest = Math.max(largest, record.length);
        }
        if (largest > RECORD_BYTES || sum > REQUEST_BYTES) {
            mRecorder.count("store: append over the limit");
            mRecorder.first("store: append over the limit", largest + " bytes in one record, "
                    + sum + " in all, topic " + topic);
            return reply(400, JSON.createObjectNode().put("reason", "size"));
        }
        long waitMs;
        synchronized (p) {
            long now = System.nanoTime() / 1_000_000;
            p.mFreeAtMs = Math.max(now, p.mFreeAtMs) + (records.isEmpty() ? 0 : APPEND_MS);
            waitMs = p.mFreeAtMs - now;
        }
        Thread.sleep(waitMs);
        synchronized (p) {
            long end = p.mRecords.size();
            String at = request.query("at", "");
            if (!at.isEmpty() && Long.parseLong(at) != end) {
                return reply(412, JSON.createObjectNode().put("end", end));
            }
            String name = request.query("producer", "");
            if (name.isEmpty()) {
                long offset = add(p, topic, records);
                return stored(offset, p.mRecords.size());
            }
            long epoch = Long.parseLong(request.query("epoch", "0"));
            long seq = Long.parseLong(request.query("seq", "0"));
            Producer producer = p.mProducers.computeIfAbsent(name, n -> new Producer());
            if (epoch < producer.mEpoch) {
                return reply(409, JSON.createObjectNode().put("reason", "fenced"));
            }
            if (epoch > producer.mEpoch) {
                producer.mEpoch = epoch;
                producer.mNextSeq = -1;
                producer.mLast.clear();
            }
            if (records.isEmpty()) {
                return stored(end, end);
            }
            long[] before = producer.mLast.get(seq);
            if (before != null) {
                return stored(before[0], before[1]);
            }
            if (producer.mNextSeq >= 0 && seq != producer.mNextSeq) {
                ObjectNode body = JSON.createObjectNode().put("reason", "seq");
                return reply(409, body.put("seq", producer.mNextSeq));
            }
            long offset = add(p, topic, records);
            producer.mNextSeq = seq + 1;
            producer.mLast.put(seq, new long[] {offset, p.mRecords.size()});
            if (producer.mLast.size() > KEPT_APPENDS) {
                producer.mLast.remove(producer.mLast.keySet().iterator().next());
            }
            return stored(offset, p.mRecords.size());
        }
    }

    private Http.Reply read(Http.Request request, Partition p) throws Exception {
        long from = Long.parseLong(request.query("from", "0"));
        long waitMs = Math.min(30_000, Long.parseLong(request.query("waitMs", "0")));
        long maxBytes = Long.parseLong(request.query("maxKb", "1024")) * 1024;
        long until = System.nanoTime() / 1_000_000 + waitMs;
        synchronized (p) {
            while (from >= p.mRecords.size()) {
                long left = until - System.nanoTime() / 1_000_000;
                if (left <= 0) {
                    break;
                }
                p.wait(left);
            }
            List<byte[]> page = new ArrayList<>();
            long size = 0;
            for (long o = from; o < p.mRecords.size(); o++) {
                byte[] r = p.mRecords.get((int) o);
                size += 4 + r.length;
                if (size > maxBytes && !page.isEmpty()) {
                    break;
                }
                page.add(r);
            }
            int length = page.stream().mapToInt(r -> 4 + r.length).sum();
            ByteBuffer out = ByteBuffer.allocate(16 + length);
            out.putLong(p.mRecords.size()).putLong(0);
            page.forEach(r -> out.putInt(r.length).put(r));
            return new Http.Reply(200, out.array());
        }
    }

    private Http.Reply newest(Http.Request request, Partition p) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode items = body.putArray("items");
        synchronized (p) {
            p.mNewest.forEach(
                    (key, k) ->
                            items.addObject()
                                    .put("key", key)
                                    .put("value", Base64.getEncoder().encodeToString(k.value()))
                                    .put("offset", k.offset()));
            body.put("more", false).put("end", p.mRecords.size());
        }
        return reply(200, body);
    }

    private static Http.Reply stored(long offset, long end) {
        return reply(200, JSON.createObjectNode().put("offset", offset).put("end", end));
    }

    private static Http.Reply reply(int status, ObjectNode body) {
        return Http.Reply.json(status, body.toString());
    }
}
