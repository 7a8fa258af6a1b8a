package org.foxtailplank.review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The platform's store as PROTOCOL.md describes it: a log with conditional appends, producers with
 * epochs, keyed topics, and records that expire after {@code keep_s}.
 */
final class Store {
    private static final int OK = 200;
    private static final int HEADER_BYTES = 16;
    private static final int REPEATS = 5;
    private static final long MIN_LATE = 1000;
    private static final long MAX_LATE = 5900;
    private static final long SILENT_MS = 20_000;

    private final long mKeepMs;
    private final long mAppendMs;
    private final Map<String, Partition> mPartitions = new ConcurrentHashMap<>();
    private final HttpServer mServer;
    private volatile long mExtraMs;
    private volatile double mLostShare;

    Store(long keepMs, long appendMs) throws IOException {
        mKeepMs = keepMs;
        mAppendMs = appendMs;
        mServer = Web.serve(0, this::handle);
    }

    String address() {
        return Web.address(mServer);
    }

    /** Delays every answer by this time. */
    void setExtraMs(long extraMs) {
        mExtraMs = extraMs;
    }

    /** Loses the answers to a share of the appends, which are done one to six seconds later. */
    void setLostShare(double lostShare) {
        mLostShare = lostShare;
    }

    private record Stored(byte[] bytes, long atMs) {}

    private record Range(long offset, long end) {}

    private static final class Producer {
        long mEpoch;
        long mLast = -1;
        final Map<Long, Range> mAnswers = new LinkedHashMap<>();
    }

    private final class Partition {
        final ReentrantLock mAppends = new ReentrantLock(true);
        final ArrayDeque<Stored> mRecords = new ArrayDeque<>();
        final Map<String, Producer> mProducers = new HashMap<>();
        final Map<String, Object[]> mNewest = new LinkedHashMap<>();
        long mFirst;

        long end() {
            return mFirst + mRecords.size();
        }

        void expire() {
            long oldest = now() - mKeepMs;
            while (!mRecords.isEmpty() && mRecords.peek().atMs() < oldest) {
                mRecords.poll();
                mFirst++;
            }
        }

        Range append(List<byte[]> records) {
            long offset = end();
            records.forEach(r -> mRecords.add(new Stored(r, now())));
            notifyAll();
            return new Range(offset, end());
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private Partition partition(String topic, String part) {
        return mPartitions.computeIfAbsent(topic + '/' + part, k -> new Partition());
    }

    /** Writes a keyed record; an empty value drops the key. */
    void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
        record.put((byte) name.length).put(name).put(text);
        putKeyed(partition(topic, "0"), record.array());
    }

    private static void putKeyed(Partition partition, byte[] record) {
        int from = 1 + (record[0] & 0xff);
        String key = new String(record, 1, from - 1, StandardCharsets.UTF_8);
        synchronized (partition) {
            long offset = partition.append(List.of(record)).offset();
            partition.mNewest.remove(key);
            if (from < record.length) {
                byte[] value = Arrays.copyOfRange(record, from, record.length);
                partition.mNewest.put(key, new Object[] {value, offset});
            }
        }
    }

    private Web.Answer handle(Web.Request request) throws InterruptedException {
        Partition partition = partition(request.text("topic"), request.text("part"));
        boolean write = request.path().equals("/v1/log-append");
        if (write && ThreadLocalRandom.current().nextDouble() < mLostShare) {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextLong(MIN_LATE, MAX_LATE));
            append(partition, request);
            // The channel carries nothing more.
            TimeUnit.MILLISECONDS.sleep(SILENT_MS);
            return Web.Answer.NONE;
        }
        Web.Answer answer =
                switch (request.path()) {
                    case "/v1/log-append" -> append(partition, request);
                    case "/v1/log-read" -> read(partition, request);
                    case "/v1/log-newest" -> newest(partition);
                    default -> Web.Answer.empty(404);
                };
        if (mExtraMs > 0) {
            TimeUnit.MILLISECONDS.sleep(mExtraMs);
        }
        return answer;
    }

    private Web.Answer append(Partition partition, Web.Request request)
            throws InterruptedException {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(request.body());
        while (in.remaining() >= Integer.BYTES) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            records.add(record);
        }
        partition.mAppends.lock();
        try {
            TimeUnit.MILLISECONDS.sleep(mAppendMs);
            if (request.text("topic").startsWith("keyed.")) {
                records.forEach(r -> putKeyed(partition, r));
                return range(new Range(partition.end() - records.size(), partition.end()));
            }
            synchronized (partition) {
                partition.expire();
                if (request.query().containsKey("at")
                        && request.number("at", 0) != partition.end()) {
                    return Web.Answer.json(412, object().put("end", partition.end()));
                }
                return request.text("producer").isEmpty()
                        ? range(partition.append(records))
                        : appendAs(partition, request, records);
            }
        } finally {
            partition.mAppends.unlock();
        }
    }

    private static Web.Answer appendAs(
            Partition partition, Web.Request request, List<byte[]> records) {
        Producer producer =
                partition.mProducers.computeIfAbsent(request.text("producer"), k -> new Producer());
        long epoch = request.number("epoch", 0);
        long sequence = request.number("seq", 0);
        if (epoch < producer.mEpoch) {
            return Web.Answer.json(409, object().put("reason", "fenced"));
        }
        if (epoch > producer.mEpoch) {
            producer.mEpoch = epoch;
            producer.mLast = -1;
            producer.mAnswers.clear();
        }
        if (records.isEmpty()) {
            return range(new Range(partition.end(), partition.end()));
        }
        if (producer.mAnswers.containsKey(sequence)) {
            return range(producer.mAnswers.get(sequence));
        }
        if (producer.mLast >= 0 && sequence != producer.mLast + 1) {
            return Web.Answer.json(
                    409, object().put("reason", "seq").put("seq", producer.mLast + 1));
        }
        producer.mLast = sequence;
        Range stored = partition.append(records);
        producer.mAnswers.put(sequence, stored);
        if (producer.mAnswers.size() > REPEATS) {
            producer.mAnswers.remove(producer.mAnswers.keySet().iterator().next());
        }
        return range(stored);
    }

    private static ObjectNode object() {
        return Web.JSON.createObjectNode();
    }

    private static Web.Answer range(Range range) {
        return Web.Answer.json(
                OK, object().put("offset", range.offset()).put("end", range.end()));
    }

    private Web.Answer read(Partition partition, Web.Request request) throws InterruptedException {
        long from = request.number("from", 0);
        long until = now() + request.number("waitMs", 0);
        synchronized (partition) {
            partition.expire();
            while (from >= partition.end() && now() < until) {
                partition.wait(Math.max(1, until - now()));
                partition.expire();
            }
            if (from < partition.mFirst) {
                return Web.Answer.json(410, object().put("first", partition.mFirst));
            }
            return new Web.Answer(OK, page(partition, from, request.number("maxKb", 1024) << 10));
        }
    }

    private static byte[] page(Partition partition, long from, long maxBytes) {
        List<byte[]> page = new ArrayList<>();
        long offset = partition.mFirst;
        int bytes = 0;
        for (Stored r : partition.mRecords) {
            if (offset++ >= from) {
                bytes += Integer.BYTES + r.bytes().length;
                if (bytes > maxBytes) {
                    bytes -= Integer.BYTES + r.bytes().length;
                    break;
                }
                page.add(r.bytes());
            }
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + bytes);
        out.putLong(partition.end()).putLong(partition.mFirst);
        page.forEach(r -> out.putInt(r.length).put(r));
        return out.array();
    }

    private static Web.Answer newest(Partition partition) {
        ObjectNode body = object();
        ArrayNode items = body.putArray("items");
        synchronized (partition) {
            partition.mNewest.forEach(
                    (key, entry) ->
                            items.addObject()
                                    .put("key", key)
                                    .put(
                                            "value",
                                            Base64.getEncoder().encodeToString((byte[]) entry[0]))
                                    .put("offset", (long) entry[1]));
            body.put("more", false).put("end", partition.end());
        }
        return Web.Answer.json(OK, body);
    }
}
