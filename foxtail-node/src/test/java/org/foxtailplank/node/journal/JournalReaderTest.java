package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How a node follows the journal. */
public class JournalReaderTest {
    private static final int RECORDS = 4000;
    private static final int RECORD_BYTES = 400;

    private FakeNode mTime;
    private FakeLog mLog;
    private JournalReader mReader;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mReader =
                new JournalReader(
                        mLog,
                        JournalPartition.all(3),
                        mTime,
                        mTime,
                        NodeLog.silent(mTime),
                        new JobBook(120_000),
                        (record, job) -> {});
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.pass(10);
            mLog.answer();
        }
    }

    private void write(int records, int bytes) {
        byte[] record = JournalCodec.encode(new OwnerAlive(1, "a".repeat(bytes), 0));
        for (int i = 0; i < records; i++) {
            mLog.records(JournalPartition.JOURNAL).add(record);
        }
    }

    private long position() {
        return mReader.position().offsets().get(0);
    }

    @Test
    public void aNodeWithANarrowLinkThatFellBehindCatchesUp() {
        // A node comes back from a cut of some seconds. Callers that ask it for jobs get no answer
        // for the rest of the day: the journal's next page takes longer over its link than a read
        // is waited for, so that each read is given up and begun again from the same place.
        mLog.linkCarries(100_000);
        mReader.follow();
        pass(100);
        write(RECORDS, RECORD_BYTES);
        pass(20_000);

        assertEquals(position(), RECORDS);
    }

    @Test
    public void aRecordThatIsLargerThanAPageIsRead() {
        // Reads that fail make pages small. A page that is smaller than the next record would come
        // back empty for ever.
        mReader.follow();
        mLog.down(JournalPartition.JOURNAL, true);
        pass(5000);
        mLog.down(JournalPartition.JOURNAL, false);
        write(1, 200_000);
        pass(2000);

        assertEquals(position(), 1);
    }

    @Test
    public void aNodeThatIsFarBehindTellsOfTheEndOfARefreshOnlyThere() {
        write(RECORDS, RECORD_BYTES);
        List<Boolean> read = new ArrayList<>();
        mReader.refresh(read::add);
        pass(2000);

        assertEquals(read, List.of(true));
        assertTrue(mReader.isCaughtUp());
        assertEquals(position(), RECORDS);
    }
}
