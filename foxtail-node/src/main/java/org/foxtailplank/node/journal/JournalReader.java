package org.foxtailplank.node.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** Follows the journal and keeps the book of jobs that it tells of. */
public final class JournalReader {
    private final NodeLog mOut;
    private final JobBook mBook;
    private final BiConsumer<JournalRecord, Optional<JobEntry>> mListener;
    private final List<PartitionReader> mParts = new ArrayList<>();
    private RecordTap mTap = (partition, offset, record) -> {};

    /**
     * A reader.
     *
     * @param partitions the journal's partitions, the first one first
     * @param listener is told of each record, with the job that it newly tells of
     */
    public JournalReader(
            SharedLog log,
            List<LogPartition> partitions,
            Clock clock,
            Timers timers,
            NodeLog out,
            JobBook book,
            BiConsumer<JournalRecord, Optional<JobEntry>> listener) {
        mOut = out;
        mBook = book;
        mListener = listener;
        for (int p = 0; p < partitions.size(); p++) {
            int number = p;
            mParts.add(
                    new PartitionReader(
                            log,
                            partitions.get(p),
                            p == 0 ? PartitionReader.Pace.FIRST : PartitionReader.Pace.SPARE,
                            clock,
                            timers,
                            out,
                            (offset, record) -> apply(number, offset, record)));
        }
    }

    public JobBook book() {
        return mBook;
    }

    /** Up to where it was read. */
    public JournalPosition position() {
        return new JournalPosition(mParts.stream().map(PartitionReader::position).toList());
    }

    /** Whether the journal was read to its end once. */
    public boolean isCaughtUp() {
        return mParts.stream().allMatch(PartitionReader::isCaughtUp);
    }

    /** When the store last answered a read. */
    public long lastReadMs() {
        return lastAnswered().lastReadMs();
    }

    /**
     * Until when the journal was read completely: the book has every record that the store had
     * taken by then, in any partition.
     */
    public long completeMs() {
        return mParts.stream().mapToLong(PartitionReader::completeMs).min().orElseThrow();
    }

    /** How long the store lately took for an answer, on average. */
    public long answerMs() {
        return (long) lastAnswered().answerMs();
    }

    /** While a partition is away, what the other one shows is what counts. */
    private PartitionReader lastAnswered() {
        return mParts.stream()
                .max(Comparator.comparingLong(PartitionReader::lastReadMs))
                .orElseThrow();
    }

    /** The owner learns of each record at once; others look twice a second and when asked. */
    public void eager(boolean eager) {
        mParts.forEach(p -> p.eager(eager));
    }

    /** Begins to follow; goes on for ever. */
    public void follow() {
        mParts.forEach(PartitionReader::follow);
    }

    /** A record that the owner has read and handed on; one beyond a gap is read later. */
    public void fromOwner(int partition, long offset, byte[] record) {
        if (partition < mParts.size()) {
            mParts.get(partition).fromOwner(offset, record);
        }
    }

    /** Whether a record of a partition was read. */
    public boolean hasRead(int partition, long offset) {
        return partition < mParts.size() && mParts.get(partition).position() > offset;
    }

    /** While the owner hands records on, the store is only read to see that it is there. */
    public void streaming(BooleanSupplier streaming) {
        mParts.forEach(p -> p.streaming(streaming));
    }

    /** Tells of each record as it is read, in the order of its partition. */
    public void tap(RecordTap tap) {
        mTap = tap;
    }

    /** Is told of records. */
    @FunctionalInterface
    public interface RecordTap {
        void read(int partition, long offset, byte[] record);
    }

    /** Reads to the end as it is now or later, then says whether that worked. */
    public void refresh(Consumer<Boolean> then) {
        Gathered gathered = new Gathered(mParts.size(), then);
        mParts.forEach(p -> p.refresh(gathered::read));
    }

    /** Waits for all partitions. */
    private static final class Gathered {
        private final Consumer<Boolean> mThen;
        private int mLeft;
        private boolean mRead = true;

        Gathered(int parts, Consumer<Boolean> then) {
            mLeft = parts;
            mThen = then;
        }

        void read(boolean read) {
            mRead &= read;
            mLeft--;
            if (mLeft == 0) {
                mThen.accept(mRead);
            }
        }
    }

    private void apply(int partition, long offset, byte[] bytes) {
        mTap.read(partition, offset, bytes);
        try {
            JournalCodec.decode(bytes).ifPresent(r -> mListener.accept(r, mBook.apply(r)));
        } catch (IOException e) {
            mOut.line("journal-record")
                    .with("partition", partition)
                    .with("offset", offset)
                    .with("error", e)
                    .write();
        }
    }
}
