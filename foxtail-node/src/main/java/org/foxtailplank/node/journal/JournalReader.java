package org.foxtailplank.node.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** Reads the journal continuously and applies its records to the registry of jobs. */
public final class JournalReader {
    /**
     * Age from which a partition is read again by a node that lacks records, in milliseconds, so
     * that it can count pending jobs by itself.
     */
    private static final long MAX_COMPLETE_AGE_MS = 1000;

    private final Clock mClock;
    private final NodeLog mNodeLog;
    private final JobRegistry mRegistry;
    private final RetainedRecords mRetained;
    private final BiConsumer<JournalRecord, Optional<JobProgress>> mListener;
    private final SharedLog mLog;
    private final Timers mTimers;
    private final List<PartitionReader> mPartitions = new ArrayList<>();

    /** Partitions of the journal of earlier versions. */
    private final List<PartitionReader> mEarlier = new ArrayList<>();

    private RawRecordListener mRawListener = (partition, offset, record) -> {};

    /**
     * Creates a reader; {@link #follow} starts it.
     *
     * @param partitions the journal's partitions, the primary one first
     * @param listener called for each applied record, with the job that the record introduces
     */
    public JournalReader(
            SharedLog log,
            List<LogPartition> partitions,
            Clock clock,
            Timers timers,
            NodeLog nodeLog,
            JobRegistry registry,
            BiConsumer<JournalRecord, Optional<JobProgress>> listener) {
        mLog = log;
        mTimers = timers;
        mClock = clock;
        mNodeLog = nodeLog;
        mRegistry = registry;
        mRetained = new RetainedRecords(registry);
        mListener = listener;
        for (int p = 0; p < partitions.size(); p++) {
            int number = p;
            mPartitions.add(
                    new PartitionReader(
                            log,
                            partitions.get(p),
                            p == 0
                                    ? PartitionReader.PollIntervals.PRIMARY
                                    : PartitionReader.PollIntervals.SPARE,
                            clock,
                            timers,
                            nodeLog,
                            (offset, record, expired) -> apply(number, offset, record, expired)));
        }
    }

    public JobRegistry registry() {
        return mRegistry;
    }

    /** Reads the journal of earlier versions as well, if there is one; before {@link #follow}. */
    public void readEarlier(List<LogPartition> partitions) {
        for (LogPartition p : partitions) {
            mEarlier.add(
                    new PartitionReader(
                            mLog,
                            p,
                            PartitionReader.PollIntervals.EARLIER,
                            mClock,
                            mTimers,
                            mNodeLog,
                            (offset, record, expired) -> applyEarlier(record)));
        }
    }

    /** Whether an earlier version has written a journal. */
    public boolean hasEarlierJournal() {
        return mEarlier.stream().anyMatch(p -> p.position() > 0);
    }

    private Stream<PartitionReader> allPartitions() {
        return Stream.concat(mPartitions.stream(), mEarlier.stream());
    }

    /** The records that the log retains. */
    public RetainedRecords retained() {
        return mRetained;
    }

    /** Position up to which the journal was read. */
    public JournalPosition position() {
        return new JournalPosition(mPartitions.stream().map(PartitionReader::position).toList());
    }

    /** Position up to which records had expired before this node could read them. */
    public JournalPosition expiredTo() {
        return new JournalPosition(mPartitions.stream().map(PartitionReader::expiredTo).toList());
    }

    /** Whether the reader has reached the end of every partition at least once. */
    public boolean isCaughtUp() {
        return allPartitions().allMatch(PartitionReader::isCaughtUp);
    }

    /** When the store last answered a read, by the node's clock in milliseconds. */
    public long lastReadMs() {
        return mostRecentlyRead().lastReadMs();
    }

    /** Time up to which the stored records of all partitions have been read. */
    public long completeMs() {
        return allPartitions()
                .filter(p -> !p.isAbandoned())
                .mapToLong(PartitionReader::completeMs)
                .min()
                .orElseThrow();
    }

    /** Moving average of the store's latency, in milliseconds. */
    public long latencyMs() {
        return (long) mostRecentlyRead().latencyMs();
    }

    /** The partition with the latest answer, so that an unavailable partition is ignored. */
    private PartitionReader mostRecentlyRead() {
        return mPartitions.stream()
                .max(Comparator.comparingLong(PartitionReader::lastReadMs))
                .orElseThrow();
    }

    /** Sets whether to read with long polls, as the owner does, instead of at intervals. */
    public void setLongPolling(boolean enabled) {
        mPartitions.forEach(p -> p.setLongPolling(enabled));
    }

    /** Starts to read all partitions, indefinitely. */
    public void follow() {
        allPartitions().forEach(PartitionReader::follow);
    }

    /** Applies a record streamed by the owner; if it is beyond a gap, reads the gap first. */
    public void applyStreamed(int partition, long offset, byte[] record) {
        // An owner of an earlier version streams another journal.
        if (partition < mPartitions.size() && JournalKey.hasKey(record)) {
            mPartitions.get(partition).applyStreamed(offset, record);
        }
    }

    /**
     * Applies records that the store has just accepted from this node, which would otherwise be
     * known only after a further read. A slow store answers that after a quarter of a second.
     */
    public void applyStored(int partition, long firstOffset, List<byte[]> records) {
        if (partition < mPartitions.size()) {
            mPartitions.get(partition).applyStored(firstOffset, records);
        }
    }

    /** Offset of the next record of a partition to read; 0 if this node doesn't read it. */
    public long position(int partition) {
        return partition < mPartitions.size() ? mPartitions.get(partition).position() : 0;
    }

    /** Whether a record of a partition was read. */
    public boolean hasRead(int partition, long offset) {
        return partition < mPartitions.size() && mPartitions.get(partition).position() > offset;
    }

    /** Sets the condition under which the owner streams records, and reads are less frequent. */
    public void setStreaming(BooleanSupplier streaming) {
        mPartitions.forEach(p -> p.setStreaming(streaming));
    }

    /** Sets the listener for raw records, which receives them in the order of their partition. */
    public void setRawListener(RawRecordListener listener) {
        mRawListener = listener;
    }

    /** Receives the raw records of the journal. */
    @FunctionalInterface
    public interface RawRecordListener {
        void onRecord(int partition, long offset, byte[] record);
    }

    /** Reads all partitions to their current end or beyond, then reports whether that succeeded. */
    public void refresh(Consumer<Boolean> callback) {
        List<PartitionReader> read = allPartitions().filter(p -> !p.isAbandoned()).toList();
        RefreshBarrier barrier = new RefreshBarrier(read.size(), callback);
        read.forEach(p -> p.refresh(barrier::partitionDone));
    }

    /**
     * Reads the partitions that lack records before a position, or were last read to their end a
     * while ago.
     */
    public void catchUpTo(JournalPosition position) {
        for (int p = 0; p < mPartitions.size(); p++) {
            PartitionReader partition = mPartitions.get(p);
            boolean behind = partition.position() < position.offset(p);
            if (behind || mClock.nowMs() - partition.completeMs() >= MAX_COMPLETE_AGE_MS) {
                partition.refresh(read -> {});
            }
        }
    }

    /** Completes a refresh once all partitions are read. */
    private static final class RefreshBarrier {
        private final Consumer<Boolean> mCallback;
        private int mRemaining;
        private boolean mAllRead = true;

        RefreshBarrier(int partitions, Consumer<Boolean> callback) {
            mRemaining = partitions;
            mCallback = callback;
        }

        void partitionDone(boolean succeeded) {
            mAllRead &= succeeded;
            mRemaining--;
            if (mRemaining == 0) {
                mCallback.accept(mAllRead);
            }
        }
    }

    /** Applies a record of an earlier version, whose owners have no part in this journal. */
    private void applyEarlier(byte[] bytes) {
        try {
            Optional<JournalRecord> decoded = JournalCodec.decode(bytes);
            if (decoded.isPresent()) {
                if (!isOfOwner(decoded.get())) {
                    mRetained.addEarlier(decoded.get(), mClock.nowMs());
                    mListener.accept(decoded.get(), mRegistry.apply(decoded.get()));
                }
            }
        } catch (IOException e) {
            mNodeLog.line("journal-record").with("earlier", true).with("error", e).write();
        }
    }

    private static boolean isOfOwner(JournalRecord record) {
        return record instanceof OwnerHeartbeat || record instanceof OwnerResigned;
    }

    private void apply(int partition, long offset, byte[] bytes, boolean expired) {
        mRawListener.onRecord(partition, offset, bytes);
        long key = JournalKey.number(bytes);
        try {
            Optional<JournalRecord> decoded = JournalCodec.decode(bytes);
            if (decoded.isPresent()) {
                JournalRecord record = decoded.get();
                if (key != JournalKey.NONE) {
                    mRetained.add(partition, key, record, mClock.nowMs(), expired);
                }
                mListener.accept(record, mRegistry.apply(record));
            } else if (JournalKey.isRemoval(bytes)) {
                mRetained.remove(partition, key);
            }
        } catch (IOException e) {
            mNodeLog.line("journal-record")
                    .with("partition", partition)
                    .with("offset", offset)
                    .with("error", e)
                    .write();
        }
    }
}
