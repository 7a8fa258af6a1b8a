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

/** What callers are told of the records that their requests need. */
public class JournalWriterTest {
    private static final long PATIENCE_MS = 1000;

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

    /** The owner, as far as this node reaches it; it answers when the test says so. */
    private static final class Owner implements Handover {
        private final List<Consumer<StoreOutcome>> mAsked = new ArrayList<>();
        private boolean mOpen;

        @Override
        public boolean isOpen() {
            return mOpen;
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> then) {
            mAsked.add(then);
        }

        void answer(StoreOutcome outcome) {
            mAsked.remove(0).accept(outcome);
        }
    }

    @Test
    public void aNodeThatTheStoreTurnsAwayStoresThroughTheOwner() {
        // The store turns some nodes away. Their callers were refused, and asked one node after the
        // other until they came to one that is served.
        mLog.next(Fate.REFUSED);
        store();
        mOwner.mOpen = true;
        mLog.answer();
        mOwner.answer(StoreOutcome.STORED);

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
    }

    @Test
    public void aSlowStoreGetsTheRecordsOfAllNodesFromOne() {
        // A store that takes a third of a second for each append: ten nodes with appends of their
        // own wait for each other, jobs are refused, and the owner can't write down its starts.
        mOwner.mOpen = true;
        store();
        store();

        assertEquals(mOwner.mAsked.size(), 2);
        assertTrue(mLog.records(JournalPartition.JOURNAL).isEmpty());
    }

    @Test
    public void aRecordThatTheOwnerMayHaveStoredIsNeverSaidNotToBeStored() {
        // The owner dies with a job in its hands. Whether it had stored it nobody knows, and a
        // caller that is told no would see it run.
        mOwner.mOpen = true;
        store();
        mOwner.mOpen = false;
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
    public void anOwnerThatCanStoreNoMoreIsNotWaitedFor() {
        mOwner.mOpen = true;
        mWriter.store(new JobCancelled("aa", 1), mTime.nowMs() + 3000, mOutcomes::add);
        mOwner.mOpen = false;
        mTime.pass(300);
        mLog.answer();
        mOwner.answer(StoreOutcome.STORED);

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED), "once, by the node's own append");
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
