package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a reader catches up with the journal. */
public class JournalReaderTest {
    private static final int RECORDS = 4000;
    private static final int RECORD_BYTES = 400;

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private JournalReader mReader;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mReader =
                new JournalReader(
                        mLog,
                        JournalPartitions.all(3),
                        mTime,
                        mTime,
                        NodeLog.silent(mTime),
                        new JobRegistry(120_000),
                        (record, job) -> {});
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.advance(10);
            mLog.deliverAnswers();
        }
    }

    private void write(int records, int bytes) {
        byte[] record = JournalCodec.encode(new OwnerHeartbeat(1, "a".repeat(bytes), 0));
        for (int i = 0; i < records; i++) {
            mLog.records(JournalPartitions.PRIMARY).add(record);
        }
    }

    private long position() {
        return mReader.position().offsets().get(0);
    }

    @Test
    public void aLaggingNodeCatchesUpOverASlowLink() {
        // Guards against pages that take longer than the read timeout, so that every read is
        // retried from the same offset.
        mLog.limitAnswerBytes(100_000);
        mReader.follow();
        pass(100);
        write(RECORDS, RECORD_BYTES);
        pass(20_000);

        assertEquals(position(), RECORDS);
    }

    @Test
    public void aRecordLargerThanThePageSizeIsRead() {
        // Guards against empty reads forever after failed reads have made the page smaller than the
        // next record.
        mReader.follow();
        mLog.setUnavailable(JournalPartitions.PRIMARY, true);
        pass(5000);
        mLog.setUnavailable(JournalPartitions.PRIMARY, false);
        write(1, 200_000);
        pass(2000);

        assertEquals(position(), 1);
    }

    /**
     * Guards against a follower that reads all partitions since the stream lacks a record of one.
     */
    @Test
    public void onlyThePartitionThatLacksRecordsIsReadAtEachHeartbeat() {
        mReader.refresh(read -> {});
        pass(10);
        for (int i = 1; i <= 4; i++) {
            write(1, RECORD_BYTES);
            mReader.catchUpTo(new JournalPosition(List.of((long) i, 0L, 0L)));
            pass(200);
            assertEquals(position(), i);
        }

        assertEquals(mLog.reads(JournalPartitions.PRIMARY), 5);
        assertEquals(mLog.reads(JournalPartitions.all(3).get(1)), 1);
        pass(200);
        mReader.catchUpTo(new JournalPosition(List.of(4L, 0L, 0L)));
        assertEquals(mLog.reads(JournalPartitions.all(3).get(1)), 2, "it was last read 1 s ago");
    }

    @Test
    public void aRefreshCompletesOnlyAtTheEndOfTheJournal() {
        write(RECORDS, RECORD_BYTES);
        List<Boolean> results = new ArrayList<>();
        mReader.refresh(results::add);
        pass(2000);

        assertEquals(results, List.of(true));
        assertTrue(mReader.isCaughtUp());
        assertEquals(position(), RECORDS);
    }
}
