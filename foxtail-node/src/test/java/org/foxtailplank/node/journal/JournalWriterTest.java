package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeLog.Fate;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the reported outcomes of storing a record. */
public class JournalWriterTest {
    private static final long TIMEOUT_MS = 1000;

    private FakeNode mTime;
    private FakeLog mLog;
    private Owner mOwner;
    private JournalWriter mWriter;
    private List<StoreOutcome> mOutcomes;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mOutcomes = new ArrayList<>();
        mOwner = new Owner();
        mWriter =
                new JournalWriter(
                        mLog,
                        JournalPartition.JOURNAL,
                        mOwner,
                        mTime,
                        mTime,
                        NodeLog.silent(mTime));
    }

    /** An owner whose answers the test controls. */
    private static final class Owner implements Handover {
        private final List<Consumer<StoreOutcome>> mHandovers = new ArrayList<>();
        private boolean mAvailable;

        @Override
        public boolean isOpen() {
            return mAvailable;
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> then) {
            mHandovers.add(then);
        }

        void answer(StoreOutcome outcome) {
            mHandovers.remove(0).accept(outcome);
        }
    }

    @Test
    public void aRecordTheStoreRejectsIsStoredThroughTheOwner() {
        // Guards against failed requests on nodes that the store rejects while the owner could
        // store.
        mLog.next(Fate.REFUSED);
        store();
        mOwner.mAvailable = true;
        mLog.answer();
        mOwner.answer(StoreOutcome.STORED);

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
    }

    @Test
    public void recordsGoThroughAnAvailableOwner() {
        // Guards against contention on a slow store, which serializes the appends of all nodes.
        mOwner.mAvailable = true;
        store();
        store();

        assertEquals(mOwner.mHandovers.size(), 2);
        assertTrue(mLog.records(JournalPartition.JOURNAL).isEmpty());
    }

    @Test
    public void aRecordTheOwnerMayHaveStoredIsNeverReportedAsNotStored() {
        // Guards against reporting a job as rejected that the owner stored before it failed.
        mOwner.mAvailable = true;
        store();
        mOwner.mAvailable = false;
        for (int i = 0; i < 20; i++) {
            mLog.next(Fate.REFUSED);
        }
        mOwner.answer(StoreOutcome.UNKNOWN);
        for (int i = 0; i < 20; i++) {
            mLog.answer();
            mTime.pass(100);
        }

        assertEquals(mOutcomes, List.of(StoreOutcome.UNKNOWN));
    }

    @Test
    public void theWriterStopsWaitingForAnUnavailableOwner() {
        mOwner.mAvailable = true;
        mWriter.store(new JobCancelled("aa", 1), mTime.nowMs() + 3000, mOutcomes::add);
        mOwner.mAvailable = false;
        mTime.pass(300);
        mLog.answer();
        mOwner.answer(StoreOutcome.STORED);

        assertEquals(
                mOutcomes, List.of(StoreOutcome.STORED), "exactly once, by the node's own append");
    }

    private void store() {
        mWriter.store(new JobCancelled("aa", 1), mTime.nowMs() + TIMEOUT_MS, mOutcomes::add);
    }

    @Test
    public void aRecordWithALostResponseIsNeverReportedAsNotStored() {
        // Guards against reporting a job as rejected when the first append succeeded, its response
        // was lost, and the retries were rejected.
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
    public void aRejectionIsReportedImmediately() {
        mLog.next(Fate.REFUSED);
        store();
        mLog.answer();

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        assertTrue(mLog.records(JournalPartition.JOURNAL).isEmpty());
    }

    @Test
    public void whileTheStoreFailsFurtherRecordsFailFast() {
        // Guards against every caller waiting for its timeout while the store doesn't respond,
        // instead of trying another node.
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
