package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeLog.Fate;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What callers are told of the records that their requests need. */
public class JournalWriterTest {
    private static final long PATIENCE_MS = 1000;

    private FakeNode mTime;
    private FakeLog mLog;
    private JournalWriter mWriter;
    private List<StoreOutcome> mOutcomes;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mOutcomes = new ArrayList<>();
        mWriter =
                new JournalWriter(
                        mLog, JournalPartition.JOURNAL, mTime, mTime, NodeLog.silent(mTime));
    }

    private void store() {
        mWriter.store(new JobCancelled("aa", 1), mTime.nowMs() + PATIENCE_MS, mOutcomes::add);
    }

    @Test
    public void aRecordWhoseAnswerWasLostIsNeverSaidNotToBeStored() {
        // A caller is told that its job was refused, and sees it run: the first append was carried
        // out and its answer lost, the repeated ones were refused.
        mLog.next(Fate.ANSWER_LOST, Fate.REFUSED, Fate.REFUSED, Fate.REFUSED, Fate.REFUSED);
        mLog.next(Fate.REFUSED, Fate.REFUSED, Fate.REFUSED, Fate.REFUSED, Fate.REFUSED);
        mLog.next(Fate.REFUSED, Fate.REFUSED);
        store();
        for (int i = 0; i < 20; i++) {
            mLog.answer();
            mTime.pass(100);
        }

        assertEquals(mOutcomes, List.of(StoreOutcome.UNKNOWN));
    }

    @Test
    public void aRefusalIsToldAtOnce() {
        mLog.next(Fate.REFUSED);
        store();
        mLog.answer();

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        assertTrue(mLog.records(JournalPartition.JOURNAL).isEmpty());
    }

    @Test
    public void whileTheStoreFailsOthersAreRefusedWithoutWaiting() {
        // The store is silent. Each caller would wait for most of its time to learn that nothing
        // was stored, and could have asked another node meanwhile.
        mLog.next(Fate.LOST, Fate.LOST);
        store();
        mLog.answer();
        store();

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        mTime.pass(100);
        mLog.answer();
        mTime.pass(100);
        mLog.answer();
        store();
        mLog.answer();
        assertEquals(
                mOutcomes,
                List.of(StoreOutcome.NOT_STORED, StoreOutcome.STORED, StoreOutcome.STORED));
    }
}
