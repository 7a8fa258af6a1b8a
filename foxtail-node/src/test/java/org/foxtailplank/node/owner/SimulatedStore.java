package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.NewestRecords;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** The platform's store, with its rules for writers with an epoch and a sequence number. */
final class SimulatedStore {
    static final String NAME = "store";

    private static final long TIMEOUT_MS = 700;
    private static final int REPEATABLE = 5;

    private final FakeTime mTime;
    private final SimulatedNetwork mNetwork;
    private final Map<LogPartition, Partition> mPartitions = new HashMap<>();
    private final Map<LogPartition, Long> mDownUntilMs = new HashMap<>();
    private final Map<String, Long> mRejectedUntilMs = new HashMap<>();
    private long mAllDownUntilMs;

    private static final class Partition {
        final List<byte[]> mRecords = new ArrayList<>();
        final List<Runnable> mWaiting = new ArrayList<>();
        final LinkedHashMap<Long, SharedLog.AppendResult> mLast = new LinkedHashMap<>();
        long mEpoch;
        long mSequence = -1;
    }

    SimulatedStore(FakeTime time, SimulatedNetwork network) {
        mTime = time;
        mNetwork = network;
    }

    /** Makes the store reject all calls to a partition for some time. */
    void stop(LogPartition partition, long ms) {
        mDownUntilMs.merge(partition, mTime.nowMs() + ms, Math::max);
    }

    /** Makes the store reject all calls for some time. */
    void stop(long ms) {
        mAllDownUntilMs = Math.max(mAllDownUntilMs, mTime.nowMs() + ms);
    }

    /** Makes the store reject a node's appends to a partition for some time. */
    void rejectAppends(String node, LogPartition partition, long ms) {
        mRejectedUntilMs.merge(node + partition, mTime.nowMs() + ms, Math::max);
    }

    private boolean isRejected(String node, LogPartition partition) {
        return mTime.nowMs() < mRejectedUntilMs.getOrDefault(node + partition, 0L);
    }

    boolean isDown() {
        return mTime.nowMs() < mAllDownUntilMs;
    }

    private boolean isDown(LogPartition partition) {
        return isDown() || mTime.nowMs() < mDownUntilMs.getOrDefault(partition, 0L);
    }

    private Partition partition(LogPartition at) {
        return mPartitions.computeIfAbsent(at, p -> new Partition());
    }

    private SharedLog.AppendResult append(LogPartition at, List<byte[]> records) {
        Partition partition = partition(at);
        long first = partition.mRecords.size();
        partition.mRecords.addAll(records);
        List<Runnable> waiting = List.copyOf(partition.mWaiting);
        partition.mWaiting.clear();
        waiting.forEach(Runnable::run);
        return new SharedLog.Stored(first, first + records.size());
    }

    private SharedLog.AppendResult appendAs(
            LogPartition at, SharedLog.WriterEpoch writer, List<byte[]> records) {
        Partition partition = partition(at);
        long end = partition.mRecords.size();
        if (writer.epoch() < partition.mEpoch) {
            return new SharedLog.Fenced();
        }
        if (writer.epoch() > partition.mEpoch) {
            partition.mEpoch = writer.epoch();
            partition.mSequence = -1;
            partition.mLast.clear();
        }
        if (records.isEmpty()) {
            return new SharedLog.Stored(end, end);
        }
        if (partition.mLast.containsKey(writer.sequence())) {
            return partition.mLast.get(writer.sequence());
        }
        if (partition.mSequence >= 0 && writer.sequence() != partition.mSequence + 1) {
            return new SharedLog.OutOfSequence(partition.mSequence + 1);
        }
        partition.mSequence = writer.sequence();
        SharedLog.AppendResult result = append(at, records);
        partition.mLast.put(writer.sequence(), result);
        partition.mLast.keySet().removeIf(s -> s <= writer.sequence() - REPEATABLE);
        return result;
    }

    /** Appends a record of a node other than the owner. */
    void store(LogPartition at, byte[] record) {
        append(at, List.of(record));
    }

    /** Returns a node's connection to the store. */
    SharedLog connect(String node, SimulatedProcess process) {
        return new Connection(node, process);
    }

    private final class Connection implements SharedLog {
        private final String mNode;
        private final SimulatedProcess mProcess;

        Connection(String node, SimulatedProcess process) {
            mNode = node;
            mProcess = process;
        }

        private interface Attempt {
            AppendResult run();
        }

        private void call(LogPartition at, Attempt attempt, Consumer<AppendResult> callback) {
            SimulatedNetwork.Call<AppendResult> call =
                    new SimulatedNetwork.Call<>(
                            mNode,
                            NAME,
                            TIMEOUT_MS,
                            0,
                            new MaybeStored("no answer"),
                            new NotStored("not sent"));
            mNetwork.send(
                    mProcess,
                    call,
                    reply -> {
                        boolean down = isDown(at) || isRejected(mNode, at);
                        reply.accept(down ? new NotStored("down") : attempt.run());
                    },
                    callback);
        }

        @Override
        public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> callback) {
            call(at, () -> SimulatedStore.this.append(at, records), callback);
        }

        @Override
        public void appendAt(
                LogPartition at, long end, byte[] record, Consumer<AppendResult> callback) {
            call(
                    at,
                    () -> {
                        long actual = partition(at).mRecords.size();
                        return actual == end
                                ? SimulatedStore.this.append(at, List.of(record))
                                : new EndMoved(actual);
                    },
                    callback);
        }

        @Override
        public void appendAs(
                LogPartition at,
                WriterEpoch writer,
                List<byte[]> records,
                Consumer<AppendResult> callback) {
            call(at, () -> SimulatedStore.this.appendAs(at, writer, records), callback);
        }

        @Override
        public void read(
                LogPartition at, long from, PageRequest page, Consumer<ReadResult> callback) {
            ReadResult failed = new ReadFailed("no answer");
            SimulatedNetwork.Call<ReadResult> call =
                    new SimulatedNetwork.Call<>(
                            mNode, NAME, TIMEOUT_MS + page.waitMs(), 0, failed, failed);
            mNetwork.send(mProcess, call, r -> read(at, from, page.waitMs(), r), callback);
        }

        @Override
        public void readNewest(LogPartition at, String after, Consumer<NewestResult> callback) {
            NewestResult failed = new NewestFailed("no answer");
            SimulatedNetwork.Call<NewestResult> call =
                    new SimulatedNetwork.Call<>(mNode, NAME, TIMEOUT_MS, 0, failed, failed);
            mNetwork.send(
                    mProcess,
                    call,
                    r ->
                            r.accept(
                                    isDown(at)
                                            ? new NewestFailed("down")
                                            : NewestRecords.page(partition(at).mRecords, after)),
                    callback);
        }

        private void read(LogPartition at, long from, long waitMs, Consumer<ReadResult> reply) {
            if (isDown(at)) {
                reply.accept(new ReadFailed("down"));
                return;
            }
            List<byte[]> all = partition(at).mRecords;
            if (waitMs > 0 && from >= all.size()) {
                boolean[] answered = new boolean[1];
                Runnable answer =
                        () -> {
                            if (!answered[0]) {
                                answered[0] = true;
                                read(at, from, 0, reply);
                            }
                        };
                // A waiting read sees whole appends only.
                partition(at).mWaiting.add(() -> mTime.after(0, answer));
                mTime.after(waitMs, answer);
                return;
            }
            int first = (int) Math.min(from, all.size());
            reply.accept(
                    new Records(from, all.size(), List.copyOf(all.subList(first, all.size()))));
        }
    }
}
