package org.foxtailplank.port;

import java.util.List;
import java.util.function.Consumer;

/** The log that all nodes share; what must last lies there. */
public interface SharedLog {

    /** Appends records, all or none. */
    void append(LogPartition partition, List<byte[]> records, Consumer<AppendResult> then);

    /** Appends one record if the partition ends where the caller thinks it does. */
    void appendAt(
            LogPartition partition, long expectedEnd, byte[] record, Consumer<AppendResult> then);

    /**
     * Appends records of a writer with an epoch, all or none. The log refuses an epoch below the
     * highest one of that writer, and repeats the answer to a sequence number that it has seen. No
     * records only raise the epoch.
     */
    void appendAs(
            LogPartition partition,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> then);

    /**
     * Who writes, so that an earlier holder of the same name can be kept out.
     *
     * @param name name of the writer
     * @param epoch rises with each holder of the name
     * @param sequence number of the append within the epoch
     */
    record WriterEpoch(String name, long epoch, long sequence) {}

    /** The most that one answer to a read carries, in bytes. */
    int LARGEST_PAGE_BYTES = 1 << 20;

    /**
     * Reads records from an offset on.
     *
     * @param page how long to wait for the first record, and how much to answer with
     */
    void read(LogPartition partition, long from, PageRequest page, Consumer<ReadResult> then);

    /**
     * What an answer to a read is to be like.
     *
     * @param waitMs how long to wait for the first record, in milliseconds; 0 doesn't wait
     * @param maxBytes how much to answer with
     */
    record PageRequest(long waitMs, int maxBytes) {
        /** As much at a time as the log gives. */
        public static PageRequest largest(long waitMs) {
            return new PageRequest(waitMs, LARGEST_PAGE_BYTES);
        }
    }

    /** What came of an append. */
    sealed interface AppendResult {}

    /** The records are stored. */
    record Stored(long firstOffset, long end) implements AppendResult {}

    /** The partition ends elsewhere; nothing was stored. */
    record EndMoved(long end) implements AppendResult {}

    /** A higher epoch has written; nothing was stored. */
    record Fenced() implements AppendResult {}

    /** Another sequence number is due; nothing was stored. */
    record OutOfSequence(long expected) implements AppendResult {}

    /** Nothing was stored. */
    record NotStored(String reason) implements AppendResult {}

    /** The records may be stored, now or some seconds later. */
    record MaybeStored(String reason) implements AppendResult {}

    /** What came of a read. */
    sealed interface ReadResult {}

    /**
     * Records from the offset that was asked for.
     *
     * @param from offset of the first of them
     * @param end offset after the last record of the partition
     * @param records the records
     */
    record Records(long from, long end, List<byte[]> records) implements ReadResult {}

    /** The records asked for are gone; the first one left has this offset. */
    record RecordsGone(long firstOffset) implements ReadResult {}

    /** No answer, or a refusal. */
    record ReadFailed(String reason) implements ReadResult {}
}
