package org.foxtailplank.node.journal;

import java.util.List;
import org.foxtailplank.job.JournalRecord.CancelledId;

/**
 * A record of the journal that the log retains under its key.
 *
 * @param partition number of the partition that holds it
 * @param key number of the key by which it is removed
 * @param number number in the order in which this node has read the records
 * @param readMs when this node read it, on its monotonic clock in milliseconds
 * @param isExpired whether it had expired in the log before it was read
 * @param kind what it states
 * @param jobs records of the jobs that it is about
 * @param cancelled early cancellations that it states
 * @param wave number of the wave that it is about; 0 if it is about none
 */
public record RetainedRecord(
        int partition,
        long key,
        long number,
        long readMs,
        boolean isExpired,
        Kind kind,
        List<JobRecords> jobs,
        List<CancelledId> cancelled,
        long wave) {

    /** What a record states. */
    enum Kind {
        /** The definition of a job, perhaps with its progress. */
        DEFINITION,
        /** Facts about jobs that other records define, or the summaries of jobs that have ended. */
        FACTS,
        /** Cancellations of jobs that weren't known yet. */
        EARLY_CANCELLATIONS,
        /** The deadline of a wave, or a reboot for it. */
        WAVE,
        /** The completion of a wave. */
        COMPLETED_WAVE
    }

    /** Whether it was read longer ago than this, in milliseconds, or had expired before. */
    public boolean isOlderThan(long ageMs, long nowMs) {
        return isExpired || wasReadBefore(nowMs - ageMs);
    }

    boolean wasReadBefore(long ms) {
        return readMs < ms;
    }

    /** Whether it is part of an earlier version's journal, which expires. */
    public boolean isEarlier() {
        return partition == JournalPartitions.EARLIER;
    }

    /** Returns the record that removes this one from its partition. */
    public byte[] removal() {
        return JournalKey.removal(key);
    }

    /** Retained records of a job. */
    public static final class JobRecords {
        private final String mId;
        private int mCount;
        private int mDefinitions;

        /** Number of the last record whose facts a complete copy of the job contains. */
        private long mCopiedTo = -1;

        JobRecords(String id) {
            mId = id;
        }

        public String id() {
            return mId;
        }

        /** Number of records that are about the job. */
        public int count() {
            return mCount;
        }

        boolean isDefined() {
            return mDefinitions > 0;
        }

        /** Whether a complete copy of the job contains the facts of a record about it. */
        public boolean isCopied(RetainedRecord record) {
            return mCopiedTo >= record.number();
        }

        void copied(long number) {
            mCopiedTo = Math.max(mCopiedTo, number);
        }

        void added(RetainedRecord record) {
            mCount++;
            mDefinitions += record.kind() == Kind.DEFINITION ? 1 : 0;
        }

        void removed(RetainedRecord record) {
            mCount--;
            mDefinitions -= record.kind() == Kind.DEFINITION ? 1 : 0;
        }
    }
}
