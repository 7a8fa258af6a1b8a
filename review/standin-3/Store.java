import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of the platform's store, as PROTOCOL.md describes the log. */
final class Store {
    private final Map<String, Part> mParts = new HashMap<>();
    private final long mKeepMs;
    private final long mAppendMs;
    private volatile boolean mDown;

    private record Entry(byte[] bytes, long atMs) {}

    private static final class Producer {
        long mEpoch = -1;
        long mNext = -1;
        final LinkedHashMap<Long, Long> mRecent = new LinkedHashMap<>();
    }

    private static final class Part {
        long mFirst;
        final List<Entry> mEntries = new ArrayList<>();
        final Map<String, Producer> mProducers = new HashMap<>();
        final Map<String, Long> mNewest = new LinkedHashMap<>();
        final Map<String, byte[]> mValues = new LinkedHashMap<>();

        long end() {
            return mFirst + mEntries.size();
        }
    }

    Store(long keepMs, long appendMs) {
        mKeepMs = keepMs;
        mAppendMs = appendMs;
    }

    /** Makes the store answer each call with 503, which means that nothing was done. */
    void setDown(boolean down) {
        mDown = down;
    }

    Web.Reply handle(Web.Call call) throws Exception {
        if (mDown) {
            return Web.Reply.json(503, Web.object());
        }
        String topic = call.query().getOrDefault("topic", "");
        Part part;
        synchronized (mParts) {
            part = mParts.computeIfAbsent(topic + "/" + call.query().get("part"), k -> new Part());
        }
        return switch (call.path()) {
            case "/v1/log-append" -> append(topic, part, call);
            case "/v1/log-read" -> read(topic, part, call);
            case "/v1/log-newest" -> newest(part);
            default -> Web.Reply.json(404, Web.object());
        };
    }

    private void expire(String topic, Part part) {
        long now = System.nanoTime() / 1_000_000;
        int gone = 0;
        while (!topic.startsWith("keyed.")
                && gone < part.mEntries.size()
                && now - part.mEntries.get(gone).atMs() > mKeepMs) {
            gone++;
        }
        part.mEntries.subList(0, gone).clear();
        part.mFirst += gone;
    }

    private Web.Reply append(String topic, Part part, Web.Call call) throws Exception {
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            return Web.Reply.json(403, Web.object());
        }
        synchronized (part) {
            Thread.sleep(mAppendMs);
            expire(topic, part);
            List<byte[]> records = decode(call.body());
            String at = call.query().get("at");
            if (at != null && Long.parseLong(at) != part.end()) {
                return Web.Reply.json(412, Web.object().put("end", part.end()));
            }
            if (call.query().containsKey("producer")) {
                Producer producer =
                        part.mProducers.computeIfAbsent(
                                call.query().get("producer"), p -> new Producer());
                long epoch = Long.parseLong(call.query().get("epoch"));
                long seq = Long.parseLong(call.query().get("seq"));
                if (epoch < producer.mEpoch) {
                    return Web.Reply.json(409, Web.object().put("reason", "fenced"));
                }
                if (epoch > producer.mEpoch) {
                    producer.mEpoch = epoch;
                    producer.mNext = -1;
                    producer.mRecent.clear();
                }
                if (!records.isEmpty()) {
                    Long earlier = producer.mRecent.get(seq);
                    if (earlier != null) {
                        return Web.Reply.json(
                                200,
                                Web.object()
                                        .put("offset", earlier)
                                        .put("end", earlier + records.size()));
                    }
                    if (producer.mNext >= 0 && seq != producer.mNext) {
                        return Web.Reply.json(
                                409, Web.object().put("reason", "seq").put("seq", producer.mNext));
                    }
                    producer.mNext = seq + 1;
                    producer.mRecent.put(seq, part.end());
                    if (producer.mRecent.size() > 5) {
                        producer.mRecent.remove(producer.mRecent.keySet().iterator().next());
                    }
                }
            }
            long offset = part.end();
            for (byte[] r : records) {
                add(topic, part, r);
            }
            part.notifyAll();
            return Web.Reply.json(200, Web.object().put("offset", offset).put("end", part.end()));
        }
    }

    private static void add(String topic, Part part, byte[] record) {
        if (topic.startsWith("keyed.")) {
            int length = record[0] & 0xff;
            String key = new String(record, 1, length, StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOfRange(record, 1 + length, record.length);
            if (value.length == 0) {
                part.mNewest.remove(key);
                part.mValues.remove(key);
            } else {
                part.mNewest.put(key, part.end());
                part.mValues.put(key, value);
            }
        }
        part.mEntries.add(new Entry(record, System.nanoTime() / 1_000_000));
    }

    /** Writes as the operator or a minion does; an empty value drops the key. */
    void put(String topic, String key, String value) {
        Part part;
        synchronized (mParts) {
            part = mParts.computeIfAbsent(topic + "/0", k -> new Part());
        }
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        record.write(name.length);
        record.writeBytes(name);
        record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        synchronized (part) {
            add(topic, part, record.toByteArray());
            part.notifyAll();
        }
    }

    boolean isDown() {
        return mDown;
    }

    private static List<byte[]> decode(byte[] body) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.remaining() >= 4) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
        }
        return records;
    }

    private Web.Reply read(String topic, Part part, Web.Call call) throws Exception {
        long from = Long.parseLong(call.query().get("from"));
        long waitMs = Long.parseLong(call.query().getOrDefault("waitMs", "0"));
        long maxBytes = Long.parseLong(call.query().getOrDefault("maxKb", "1024")) * 1024;
        long untilMs = System.nanoTime() / 1_000_000 + waitMs;
        synchronized (part) {
            expire(topic, part);
            while (part.end() <= from && System.nanoTime() / 1_000_000 < untilMs && !mDown) {
                part.wait(Math.max(1, untilMs - System.nanoTime() / 1_000_000));
            }
            expire(topic, part);
            if (from < part.mFirst) {
                return Web.Reply.json(410, Web.object().put("first", part.mFirst));
            }
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(
                    ByteBuffer.allocate(16).putLong(part.end()).putLong(part.mFirst).array());
            for (long o = from; o < part.end(); o++) {
                byte[] record = part.mEntries.get((int) (o - part.mFirst)).bytes();
                if (out.size() + record.length + 4 > maxBytes && out.size() > 16) {
                    break;
                }
                out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                out.writeBytes(record);
            }
            return Web.Reply.raw(out.toByteArray());
        }
    }

    private static Web.Reply newest(Part part) {
        synchronized (part) {
            ObjectNode body = Web.object();
            ArrayNode items = body.putArray("items");
            part.mNewest.forEach(
                    (key, offset) ->
                            items.addObject()
                                    .put("key", key)
                                    .put(
                                            "value",
                                            Base64.getEncoder()
                                                    .encodeToString(part.mValues.get(key)))
                                    .put("offset", offset));
            body.put("more", false).put("end", part.end());
            return Web.Reply.json(200, body);
        }
    }

    /** Returns the newest value of a key; empty if there is none. */
    String value(String topic, String key) {
        Part part;
        synchronized (mParts) {
            part = mParts.get(topic + "/0");
        }
        if (part == null) {
            return "";
        }
        synchronized (part) {
            byte[] value = part.mValues.get(key);
            return value == null ? "" : new String(value, StandardCharsets.UTF_8);
        }
    }
}
