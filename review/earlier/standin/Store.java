package review.standin;

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
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import review.standin.Server.Answer;
import review.standin.Server.Request;

/** The platform's store: a log with conditional appends, producers and keyed topics. */
final class Store {
    /** Most bytes of a record, as in the settings of the deployments. */
    private static final int RECORD_BYTES = 262_144;

    /** Most bytes of the records of one append. */
    private static final int REQUEST_BYTES = 2_097_152;

    private static final int REMEMBERED_APPENDS = 5;
    private static final long APPEND_MS = 4;

    private static final long MIN_LATE_MS = 1000;
    private static final long MAX_LATE_MS = 6000;

    private final Map<String, Partition> mPartitions = new HashMap<>();
    private final Recorder mRecorder;
    private final Random mRandom = new Random();
    private final ScheduledExecutorService mLateWrites =
            Executors.newSingleThreadScheduledExecutor();
    private volatile double mLostShare;

    Store(Recorder recorder) {
        mRecorder = recorder;
    }

    private static final class Producer {
        long mEpoch;
        long mNextSequence = -1;
        final Map<Long, long[]> mLast =
                new LinkedHashMap<>() {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, long[]> eldest) {
                        return size() > REMEMBERED_APPENDS;
                    }
                };
    }

    private static final class Partition {
        final List<byte[]> mRecords = new ArrayList<>();
        final Map<String, Producer> mProducers = new HashMap<>();
        final Map<String, byte[]> mNewest = new LinkedHashMap<>();
    }

    private synchronized Partition partition(String topic, String number) {
        return mPartitions.computeIfAbsent(topic + '/' + number, n -> new Partition());
    }

    /** Writes the newest value of a key; an empty value drops the key. */
    void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
        record.put((byte) name.length).put(name).put(text);
        Partition partition = partition(topic, "0");
        synchronized (partition) {
            append(partition, topic, List.of(record.array()));
        }
    }

    /** Sets the share of the writes that get no answer and are done 1 to 6 s later. */
    void setLostShare(double share) {
        mLostShare = share;
    }

    /** Leaves a write unanswered and does it late, if its condition still holds then. */
    private Answer loseWrite(String node, Partition partition, Request request) {
        long delayMs = MIN_LATE_MS + (long) (mRandom.nextDouble() * (MAX_LATE_MS - MIN_LATE_MS));
        mLateWrites.schedule(
                () -> append(node, partition, request.query(), request.body()),
                delayMs,
                TimeUnit.MILLISECONDS);
        return null;
    }

    void close() {
        mLateWrites.shutdownNow();
    }

    Answer handle(String node, Request request) throws InterruptedException {
        Map<String, String> query = request.query();
        Partition partition = partition(query.get("topic"), query.get("part"));
        boolean isWrite = request.path().equals("/v1/log-append");
        if (isWrite && mRandom.nextDouble() < mLostShare) {
            return loseWrite(node, partition, request);
        }
        return switch (request.path()) {
            case "/v1/log-append" -> append(node, partition, query, request.body());
            case "/v1/log-read" -> read(partition, query);
            case "/v1/log-newest" -> newest(partition);
            default -> Answer.empty(404);
        };
    }

    private Answer append(String node, Partition partition, Map<String, String> query, byte[] body)
            throws InterruptedException {
        List<byte[]> records = new ArrayList<>();
        int bytes = 0;
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.remaining() >= Integer.BYTES) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            records.add(record);
            bytes += record.length;
            if (record.length > RECORD_BYTES || bytes > REQUEST_BYTES) {
                mRecorder.line(
                        "store: append of %s refused with 413, a record of %d bytes",
                        node, record.length);
                return Answer.empty(413);
            }
        }
        synchronized (partition) {
            Thread.sleep(APPEND_MS);
            if (query.containsKey("at")
                    && Long.parseLong(query.get("at")) != partition.mRecords.size()) {
                return ends(412, 0, partition.mRecords.size());
            }
            if (!query.containsKey("producer")) {
                return ends(200, append(partition, query.get("topic"), records), partition);
            }
            return appendAs(partition, query, records);
        }
    }

    private Answer appendAs(Partition partition, Map<String, String> query, List<byte[]> records) {
        Producer producer =
                partition.mProducers.computeIfAbsent(query.get("producer"), p -> new Producer());
        long epoch = Long.parseLong(query.get("epoch"));
        long sequence = Long.parseLong(query.get("seq"));
        if (epoch < producer.mEpoch) {
            return conflict("fenced", 0);
        }
        if (epoch > producer.mEpoch) {
            producer.mEpoch = epoch;
            producer.mNextSequence = -1;
            producer.mLast.clear();
        }
        if (records.isEmpty()) {
            return ends(200, partition.mRecords.size(), partition);
        }
        long[] repeated = producer.mLast.get(sequence);
        if (repeated != null) {
            return ends(200, repeated[0], repeated[1]);
        }
        if (producer.mNextSequence >= 0 && sequence != producer.mNextSequence) {
            return conflict("seq", producer.mNextSequence);
        }
        long offset = append(partition, query.get("topic"), records);
        producer.mNextSequence = sequence + 1;
        producer.mLast.put(sequence, new long[] {offset, partition.mRecords.size()});
        return ends(200, offset, partition);
    }

    private static long append(Partition partition, String topic, List<byte[]> records) {
        long offset = partition.mRecords.size();
        for (byte[] record : records) {
            partition.mRecords.add(record);
            if (topic.startsWith("keyed.")) {
                int value = 1 + (record[0] & 0xff);
                String key = new String(record, 1, value - 1, StandardCharsets.UTF_8);
                if (value == record.length) {
                    partition.mNewest.remove(key);
                } else {
                    partition.mNewest.put(key, Arrays.copyOfRange(record, value, record.length));
                }
            }
        }
        partition.notifyAll();
        return offset;
    }

    private static Answer conflict(String reason, long sequence) {
        ObjectNode body = Server.JSON.createObjectNode().put("reason", reason);
        return Answer.json(409, body.put("seq", sequence));
    }

    private static Answer ends(int status, long offset, Partition partition) {
        return ends(status, offset, partition.mRecords.size());
    }

    private static Answer ends(int status, long offset, long end) {
        return Answer.json(
                status, Server.JSON.createObjectNode().put("offset", offset).put("end", end));
    }

    private static Answer read(Partition partition, Map<String, String> query)
            throws InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long waitMs = Long.parseLong(query.getOrDefault("waitMs", "0"));
        int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("maxKb", "1024"));
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (partition) {
            for (long leftMs = waitMs;
                    partition.mRecords.size() <= from && leftMs > 0;
                    leftMs = (untilNs - System.nanoTime()) / 1_000_000) {
                partition.wait(leftMs);
            }
            int end = partition.mRecords.size();
            out.writeBytes(ByteBuffer.allocate(16).putLong(end).putLong(0).array());
            for (int i = from; i < end; i++) {
                byte[] record = partition.mRecords.get(i);
                if (i > from && out.size() + Integer.BYTES + record.length > maxBytes) {
                    break;
                }
                out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                out.writeBytes(record);
            }
        }
        return new Answer(200, "application/octet-stream", out.toByteArray());
    }

    private static Answer newest(Partition partition) {
        ObjectNode body = Server.JSON.createObjectNode();
        ArrayNode items = body.putArray("items");
        synchronized (partition) {
            partition.mNewest.forEach(
                    (key, value) ->
                            items.addObject()
                                    .put("key", key)
                                    .put("value", Base64.getEncoder().encodeToString(value)));
            body.put("more", false).put("end", partition.mRecords.size());
        }
        return Answer.json(200, body);
    }
}
