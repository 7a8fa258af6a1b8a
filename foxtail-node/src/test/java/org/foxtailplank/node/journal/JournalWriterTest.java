package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeSharedLog.ScriptedOutcome;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the reported outcomes of storing a record. */
public class JournalWriterTest {
    private static final long TIMEOUT_MS = 1000;

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private Owner mOwner;
    private JournalWriter mWriter;
    private List<StoreOutcome> mOutcomes;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mOutcomes = new ArrayList<>();
        mOwner = new Owner();
        mWriter =
                new JournalWriter(
                        mLog,
                        JournalPartitions.PRIMARY,
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
        public boolean isAvailable() {
            return mAvailable;
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
            mHandovers.add(callback);
        }

        void answer(StoreOutcome outcome) {
            mHandovers.remove(0).accept(outcome);
        }
    }

    @Test
    public void aRecordTheStoreRejectsIsStoredThroughTheOwner() {
        // Guards against failed requests on nodes that the store rejects while the owner could
        // store.
        mLog.scriptAppends(ScriptedOutcome.REFUSED);
        store();
        mOwner.mAvailable = true;
        mLog.deliverAnswers();
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
        assertTrue(mLog.records(JournalPartitions.PRIMARY).isEmpty());
    }

    @Test
    public void aRecordTheOwnerMayHaveStoredIsNeverReportedAsNotStored() {
        // Guards against reporting a job as rejected that the owner stored before it failed.
        mOwner.mAvailable = true;
        store();
        mOwner.mAvailable = false;
        for (int i = 0; i < 20; i++) {
            mLog.scriptAppends(ScriptedOutcome.REFUSED);
        }
        mOwner.answer(StoreOutcome.UNKNOWN);
        for (int i = 0; i < 20; i++) {
            mLog.deliverAnswers();
            mTime.advance(100);
        }

        assertEquals(mOutcomes, List.of(StoreOutcome.UNKNOWN));
    }

    @Test
    public void aRecordOfARefusedJobIsNotAppended() {
        // The owner has let another node refuse the job, whose caller was told that it never runs.
        mOwner.mAvailable = true;
        store();
        mOwner.answer(StoreOutcome.REFUSED);

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        assertTrue(mLog.records(JournalPartitions.PRIMARY).isEmpty());
    }

    @Test
    public void theWriterStopsWaitingForAnUnavailableOwner() {
        mOwner.mAvailable = true;
        mWriter.store(new JobCancelled("aa", 1), mTime.nowMs() + 3000, mOutcomes::add);
        mOwner.mAvailable = false;
        mTime.advance(300);
        mLog.deliverAnswers();
        mOwner.answer(StoreOutcome.STORED);

        assertEquals(
                mOutcomes, List.of(StoreOutcome.STORED), "exactly once, by the node's own append");
    }

    /** Guards against a caller that waits for its deadline at a node that reaches nobody. */
    @Test
    public void aNodeThatIsCutOffReportsARecordThatMayBeStoredAtOnce() {
        boolean[] cutOff = {false};
        mWriter.setCutOffCondition(() -> cutOff[0]);
        mOwner.mAvailable = true;
        mWriter.store(new JobCancelled("aa", 1), mTime.nowMs() + 3000, mOutcomes::add);
        mOwner.mAvailable = false;
        cutOff[0] = true;
        mLog.scriptAppends(ScriptedOutcome.REFUSED);
        mTime.advance(300);
        mLog.deliverAnswers();

        assertEquals(mOutcomes, List.of(StoreOutcome.UNKNOWN));
    }

    private void store() {
        mWriter.store(new JobCancelled("aa", 1), mTime.nowMs() + TIMEOUT_MS, mOutcomes::add);
    }

    @Test
    public void aRecordWithALostResponseIsNeverReportedAsNotStored() {
        // Guards against reporting a job as rejected when the first append succeeded, its response
        // was lost, and the retries were rejected.
        mLog.scriptAppends(
                ScriptedOutcome.ANSWER_LOST,
                ScriptedOutcome.REFUSED,
                ScriptedOutcome.REFUSED,
                ScriptedOutcome.REFUSED,
                ScriptedOutcome.REFUSED);
        mLog.scriptAppends(
                ScriptedOutcome.REFUSED,
                ScriptedOutcome.REFUSED,
                ScriptedOutcome.REFUSED,
                ScriptedOutcome.REFUSED,
                ScriptedOutcome.REFUSED);
        mLog.scriptAppends(ScriptedOutcome.REFUSED, ScriptedOutcome.REFUSED);
        store();
        for (int i = 0; i < 20; i++) {
            mLog.deliverAnswers();
            mTime.advance(100);
        }

        assertEquals(mOutcomes, List.of(StoreOutcome.UNKNOWN));
    }

    @Test
    public void aRejectionIsReportedImmediately() {
        mLog.scriptAppends(ScriptedOutcome.REFUSED);
        store();
        mLog.deliverAnswers();

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        assertTrue(mLog.records(JournalPartitions.PRIMARY).isEmpty());
    }

    @Test
    public void whileTheStoreFailsFurtherRecordsFailFast() {
        // Guards against every caller waiting for its timeout while the store doesn't respond,
        // instead of trying another node.
        mLog.scriptAppends(ScriptedOutcome.LOST, ScriptedOutcome.LOST);
        store();
        mLog.deliverAnswers();
        store();

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        mTime.advance(100);
        mLog.deliverAnswers();
        mTime.advance(100);
        mLog.deliverAnswers();
        store();
        mLog.deliverAnswers();
        assertEquals(
                mOutcomes,
                List.of(StoreOutcome.NOT_STORED, StoreOutcome.STORED, StoreOutcome.STORED));
    }
}
