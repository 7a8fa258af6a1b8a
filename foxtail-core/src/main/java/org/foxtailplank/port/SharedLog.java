package org.foxtailplank.port;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The append-only log that all nodes share and that holds all durable state.
 *
 * <p>Records expire. In a keyed partition, a record consists of one byte with the length of its
 * key, the key, and a value. The newest record of each key remains available to {@link
 * #readNewest}, also after it has expired, until a record without a value removes the key.
 */
public interface SharedLog {

    /** Appends records atomically. */
    void append(LogPartition partition, List<byte[]> records, Consumer<AppendResult> callback);

    /** Appends one record if {@code expectedEnd} is the end offset of the partition. */
    void appendAt(
            LogPartition partition,
            long expectedEnd,
            byte[] record,
            Consumer<AppendResult> callback);

    /**
     * Appends records of a writer atomically and idempotently. The log rejects an epoch lower than
     * the writer's highest one, and repeats its response to a sequence number that it has seen. An
     * empty list only raises the epoch.
     */
    void appendAs(
            LogPartition partition,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> callback);

    /**
     * Identity of a writer, by which an earlier holder of the same name is fenced off.
     *
     * @param name name shared by successive holders
     * @param epoch epoch, which increases with each holder of the name
     * @param sequence sequence number of the append within the epoch
     */
    record WriterEpoch(String name, long epoch, long sequence) {}

    /** Maximum size of the response to a read, in bytes. */
    int MAX_PAGE_BYTES = 1 << 20;

    /**
     * Reads records from an offset on.
     *
     * @param page limits of the response
     */
    void read(LogPartition partition, long from, PageRequest page, Consumer<ReadResult> callback);

    /**
     * Reads the newest records of the keys of a keyed partition, page by page. Pages aren't a
     * snapshot: a record may be missing if its key is written meanwhile.
     *
     * @param after last key of the previous page; empty for the first page
     */
    void readNewest(LogPartition partition, String after, Consumer<NewestResult> callback);

    /**
     * Limits of the response to a read.
     *
     * @param waitMs how long to wait for the first record, in milliseconds; 0 for no wait
     * @param maxBytes maximum total size of the records, in bytes
     */
    record PageRequest(long waitMs, int maxBytes) {
        /** Requests pages of the maximum size. */
        public static PageRequest largest(long waitMs) {
            return new PageRequest(waitMs, MAX_PAGE_BYTES);
        }
    }

    /** Result of an append. */
    sealed interface AppendResult {}

    /** The records are stored. */
    record Stored(long firstOffset, long end) implements AppendResult {}

    /** The partition has another end offset; nothing was stored. */
    record EndMoved(long end) implements AppendResult {}

    /** The writer has a higher epoch; nothing was stored. */
    record Fenced() implements AppendResult {}

    /** The log expects another sequence number; nothing was stored. */
    record OutOfSequence(long expected) implements AppendResult {}

    /** Nothing was stored. */
    record NotStored(String reason) implements AppendResult {}

    /** Nothing was stored, and these records never will be in this append. */
    record Unacceptable(String reason) implements AppendResult {}

    /** Unknown: the records may be stored, or may still be stored later. */
    record MaybeStored(String reason) implements AppendResult {}

    /** Result of a read. */
    sealed interface ReadResult {}

    /**
     * Records from the requested offset on.
     *
     * @param from offset of the first record
     * @param end offset after the last record of the partition
     * @param records the records
     */
    record Records(long from, long end, List<byte[]> records) implements ReadResult {}

    /** The requested records have expired; the first available one has this offset. */
    record RecordsGone(long firstOffset) implements ReadResult {}

    /** The read timed out or was rejected. */
    record ReadFailed(String reason) implements ReadResult {}

    /** Result of a read of the newest records. */
    sealed interface NewestResult {}

    /**
     * A page of the newest records, in no particular order.
     *
     * @param records the records
     * @param next key to continue after; empty if this is the last page
     */
    record NewestPage(List<OffsetRecord> records, Optional<String> next) implements NewestResult {}

    /** The read of the newest records timed out or was rejected. */
    record NewestFailed(String reason) implements NewestResult {}

    /**
     * A record and its offset.
     *
     * @param offset offset of the record in its partition
     * @param record the record, with its key
     */
    record OffsetRecord(long offset, byte[] record) {}
}
