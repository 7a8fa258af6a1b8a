package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeSharedLog.ScriptedOutcome;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.port.LogPartition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the journal writers of successive owners. */
public class OwnerJournalTest {
    private static final LogPartition SPARE = JournalPartitions.all(3).get(1);
    private static final LogPartition THIRD = JournalPartitions.all(3).get(2);

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private OwnerContext mContext;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mContext = FakeOwnerContext.of(mTime, mLog);
    }

    private int storedCount() {
        return mLog.records(JournalPartitions.PRIMARY).size();
    }

    private int spareCount() {
        return mLog.records(SPARE).size();
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.advance(10);
            mLog.deliverAnswers();
        }
    }

    @Test
    public void earlierOwnerIsFencedOnceTheEpochIsRaised() {
        // A paused owner that resumes after a takeover must not store an end or a start, because
        // its successor has already read the journal.
        AtomicInteger fenced = new AtomicInteger();
        OwnerJournal first = new OwnerJournal(mContext, 1, fenced::incrementAndGet);
        OwnerJournal second = new OwnerJournal(mContext, 2, () -> {});
        first.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        second.raiseEpoch(() -> {});
        mLog.deliverAnswers();

        boolean[] wasStored = {false};
        first.store(new OwnerHeartbeat(1, "a", 0), () -> wasStored[0] = true);
        mLog.deliverAnswers();

        assertFalse(wasStored[0]);
        assertEquals(fenced.get(), 1);
        assertEquals(storedCount(), 0);
    }

    @Test
    public void recordWhoseAnswerIsLostIsStoredOnce() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        mLog.scriptAppends(
                ScriptedOutcome.ANSWER_LOST, ScriptedOutcome.REFUSED, ScriptedOutcome.STORED);
        boolean[] wasStored = {false};
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> wasStored[0] = true);
        for (int i = 0; i < 4; i++) {
            mLog.deliverAnswers();
            mTime.advance(100);
        }

        assertTrue(wasStored[0]);
        assertEquals(storedCount(), 1);
    }

    private String logged() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        mContext.log().flush(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a record that counts as stored by the answer to another one, unnoticed. */
    @Test
    public void anAnswerThatIsOfAnEarlierAppendIsLogged() {
        for (int i = 0; i < 2; i++) {
            OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
            journal.raiseEpoch(() -> {});
            mLog.deliverAnswers();
            journal.store(new OwnerHeartbeat(1, "a", i), () -> {});
            mLog.deliverAnswers();
        }

        String log = logged();
        assertEquals(storedCount(), 1);
        assertTrue(
                log.contains(
                        "\"kind\":\"append-behind\",\"token\":1,\"partition\":0,"
                                + "\"sequence\":0,\"offset\":0,\"position\":1"),
                log);
    }

    @Test
    public void anAppendThatIsReadBeforeItsAnswerIsNotLogged() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        mLog.scriptAppends(ScriptedOutcome.ANSWER_LOST);
        boolean[] wasStored = {false};
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> wasStored[0] = true);
        mContext.reader().refresh(read -> {});
        pass(500);

        assertTrue(wasStored[0]);
        assertFalse(logged().contains("append-behind"));
    }

    /** Guards against jobs that wait for a further read of a slow store before they start. */
    @Test
    public void anOwnersRecordIsAppliedAsSoonAsItIsStored() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        long[] positionWhenStored = {-1};
        journal.store(
                new OwnerHeartbeat(1, "a", 0),
                () -> positionWhenStored[0] = mContext.reader().position().offsets().get(0));
        mLog.deliverAnswers();

        assertEquals(positionWhenStored[0], 1, "without a read");
    }

    /** Guards against a gap in the journal where another node's record precedes the owner's. */
    @Test
    public void anOwnersRecordBehindAnotherOneIsLeftToTheNextRead() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        mLog.records(JournalPartitions.PRIMARY).add(new byte[] {0});
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> {});
        mLog.deliverAnswers();

        assertEquals(mContext.reader().position().offsets().get(0), 0L);
    }

    @Test
    public void pendingHandoversAreAnsweredWhenTheJournalIsClosed() {
        // A caller whose record was handed over must get an answer when the owner is replaced:
        // unknown if the record was sent, not stored otherwise.
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        journal.storeHandedOver(new byte[] {1}, outcomes::add);
        journal.storeHandedOver(new byte[] {2}, outcomes::add);
        journal.close();
        journal.storeHandedOver(new byte[] {3}, outcomes::add);
        mLog.deliverAnswers();

        assertEquals(
                outcomes,
                List.of(StoreOutcome.UNKNOWN, StoreOutcome.NOT_STORED, StoreOutcome.NOT_STORED),
                "the first was sent, the others were not");
    }

    @Test
    public void handedOverRecordsAreRejectedWhileAllPartitionsRefuse() {
        // Callers of other nodes must learn at once that all partitions are down; the owner's own
        // records keep waiting.
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        boolean[] ownStored = {false};
        mLog.scriptAppends(
                ScriptedOutcome.REFUSED, ScriptedOutcome.REFUSED, ScriptedOutcome.REFUSED);
        journal.storeHandedOver(new byte[] {1}, outcomes::add);
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> ownStored[0] = true);
        journal.storeHandedOver(new byte[] {2}, outcomes::add);
        mLog.deliverAnswers();
        List<StoreOutcome> earlyOutcomes = List.copyOf(outcomes);
        mTime.advance(100);
        mLog.deliverAnswers();

        assertEquals(earlyOutcomes, List.of(StoreOutcome.NOT_STORED, StoreOutcome.NOT_STORED));
        assertTrue(ownStored[0]);
        assertEquals(storedCount(), 1);
    }

    @Test
    public void unansweredAppendIsResentAndStoredOnce() {
        // All starts and ends wait for the owner's append, so a lost answer must not cost a whole
        // timeout.
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        mLog.scriptAppends(ScriptedOutcome.SILENT);
        boolean[] wasStored = {false};
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> wasStored[0] = true);
        mLog.deliverAnswers();
        boolean storedEarly = wasStored[0];
        mTime.advance(150);
        mLog.deliverAnswers();

        assertFalse(storedEarly);
        assertTrue(wasStored[0]);
        assertEquals(storedCount(), 1);
    }

    @Test
    public void handedOverRecordsWaitWhileAnAnswerIsLate() {
        // Handed-over records must not be rejected at the first late answer of a slow store: all
        // nodes would then append concurrently and slow it down further.
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        mLog.scriptAppends(ScriptedOutcome.ANSWER_LOST);
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> {});
        journal.storeHandedOver(new byte[] {1}, outcomes::add);
        mLog.deliverAnswers();
        List<StoreOutcome> earlyOutcomes = List.copyOf(outcomes);
        mTime.advance(100);
        mLog.deliverAnswers();

        assertFalse(earlyOutcomes.contains(StoreOutcome.NOT_STORED), "it is not rejected");
        assertFalse(earlyOutcomes.contains(StoreOutcome.UNKNOWN), "nor is its outcome unknown");
        assertEquals(outcomes, List.of(StoreOutcome.STORED));
    }

    @Test
    public void handedOverRecordThatMayBeStoredIsNotRejected() {
        // A record whose append may be stored must not be reported as not stored when its retry is
        // refused.
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        mLog.scriptAppends(ScriptedOutcome.ANSWER_LOST, ScriptedOutcome.REFUSED);
        journal.storeHandedOver(new byte[] {1}, outcomes::add);
        for (int i = 0; i < 3; i++) {
            mLog.deliverAnswers();
            mTime.advance(100);
        }

        assertEquals(outcomes, List.of(StoreOutcome.STORED));
        assertEquals(storedCount(), 1);
    }

    @Test
    public void recordsGoToTheSparePartitionWhileTheFirstIsDown() {
        // While the journal's first partition is down, records must go to the spare one.
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        mLog.setUnavailable(JournalPartitions.PRIMARY, true);
        for (int i = 0; i < 10; i++) {
            journal.storeHandedOver(new byte[] {(byte) i}, outcomes::add);
            pass(100);
        }
        int spareWhileDown = spareCount();
        mLog.setUnavailable(JournalPartitions.PRIMARY, false);
        pass(500);
        journal.storeHandedOver(new byte[] {10}, outcomes::add);
        pass(100);

        assertEquals(outcomes, Collections.nCopies(11, StoreOutcome.STORED));
        assertEquals(spareWhileDown, 10);
        assertEquals(storedCount(), 1, "the first partition accepts records again");
    }

    /** Guards against a removal that reaches a partition which doesn't hold the record. */
    @Test
    public void aRecordOfOnePartitionWaitsUntilThatPartitionIsAvailable() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<String> stored = new ArrayList<>();
        mLog.setUnavailable(SPARE, true);
        journal.storeIn(1, new byte[] {1}, () -> stored.add("spare"));
        journal.storeIn(0, new byte[] {2}, () -> stored.add("primary"));
        journal.storeHandedOver(new byte[] {3}, o -> stored.add("any"));
        pass(1000);
        assertEquals(stored, List.of("primary", "any"));
        mLog.setUnavailable(SPARE, false);
        pass(1000);

        assertEquals(stored, List.of("primary", "any", "spare"));
        assertEquals(mLog.records(SPARE).get(0), new byte[] {1});
        assertEquals(storedCount(), 2);
    }

    @Test
    public void recordsGoToTheThirdPartitionWhileTwoAreDown() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        mLog.setUnavailable(JournalPartitions.PRIMARY, true);
        mLog.setUnavailable(SPARE, true);
        journal.storeHandedOver(new byte[] {1}, outcomes::add);
        pass(100);

        assertEquals(outcomes, List.of(StoreOutcome.STORED));
        assertEquals(mLog.records(THIRD).size(), 1);
    }

    @Test
    public void recordsGoToTheSparePartitionWhileTheFirstDoesNotAnswer() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        mLog.scriptAppends(ScriptedOutcome.SILENT, ScriptedOutcome.SILENT);
        journal.storeHandedOver(new byte[] {1}, outcomes::add);
        pass(500);

        assertEquals(outcomes, List.of(StoreOutcome.STORED));
        assertEquals(spareCount(), 1);
    }

    @Test
    public void appendThatMayBeStoredIsRepeatedUnchanged() {
        // The store recognises a repeated append by its sequence number alone. Other records sent
        // with that number would be taken for the first ones and lost.
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        List<StoreOutcome> outcomes = new ArrayList<>();
        mLog.scriptAppends(ScriptedOutcome.ANSWER_LOST);
        journal.storeHandedOver(new byte[] {1}, outcomes::add);
        pass(50);
        journal.storeHandedOver(new byte[] {2}, outcomes::add);
        pass(1000);
        journal.storeHandedOver(new byte[] {3}, outcomes::add);
        pass(100);

        assertEquals(outcomes, Collections.nCopies(3, StoreOutcome.STORED));
        List<Byte> all = new ArrayList<>();
        mLog.records(JournalPartitions.PRIMARY).forEach(r -> all.add(r[0]));
        mLog.records(SPARE).forEach(r -> all.add(r[0]));
        assertTrue(all.containsAll(List.of((byte) 1, (byte) 2, (byte) 3)), all.toString());
    }

    @Test
    public void newOwnerWaitsUntilTheEpochIsRaisedInAllPartitions() {
        // The first owner may write to any partition. A second one that raises the epoch in the
        // first partition alone could miss a start recorded after it has read the journal.
        AtomicInteger fenced = new AtomicInteger();
        OwnerJournal first = new OwnerJournal(mContext, 1, fenced::incrementAndGet);
        first.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        boolean[] raised = {false};
        mLog.setUnavailable(SPARE, true);
        OwnerJournal second = new OwnerJournal(mContext, 2, () -> {});
        second.raiseEpoch(() -> raised[0] = true);
        pass(1000);
        boolean raisedEarly = raised[0];
        mLog.setUnavailable(SPARE, false);
        pass(500);
        mLog.setUnavailable(JournalPartitions.PRIMARY, true);
        first.store(new OwnerHeartbeat(1, "a", 0), () -> {});
        pass(200);

        assertFalse(raisedEarly);
        assertTrue(raised[0]);
        assertEquals(fenced.get(), 1);
        assertEquals(spareCount(), 0);
    }

    @Test
    public void recordsEnqueuedDuringAnAppendAreSentTogether() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        for (int i = 0; i < 5; i++) {
            journal.store(new OwnerHeartbeat(1, "a" + i, 0), () -> {});
        }
        assertEquals(storedCount(), 0);
        assertTrue(journal.hasPendingRecords());
        mLog.deliverAnswers();

        assertEquals(storedCount(), 5);
        assertFalse(journal.hasPendingRecords());
    }

    private OwnerJournal openJournal() {
        OwnerJournal journal = new OwnerJournal(mContext, 1, () -> {});
        journal.raiseEpoch(() -> {});
        mLog.deliverAnswers();
        return journal;
    }

    @Test
    public void aRecordThatIsTooLargeForTheStoreIsStoredInParts() throws IOException {
        // Guards against a wide step whose starts are refused and stop those of all other jobs.
        mLog.limitRecordBytes(256 << 10);
        OwnerJournal journal = openJournal();
        List<StartedRun> starts = new ArrayList<>();
        for (int i = 0; i < 7500; i++) {
            TaskName task = new TaskName("00000000000000aa", 0, 0, i);
            starts.add(new StartedRun(task, 1, WorkerIncarnation.ofUnknownStart("worker-1")));
        }
        int[] stored = {0};
        int[] storedLater = {0};
        journal.store(new RunsStarted(starts), () -> stored[0]++);
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> storedLater[0]++);
        pass(1000);

        assertEquals(stored[0], 1);
        assertEquals(storedLater[0], 1);
        List<StartedRun> written = new ArrayList<>();
        for (byte[] record : mLog.records(JournalPartitions.PRIMARY)) {
            if (JournalCodec.decode(record).orElseThrow() instanceof RunsStarted r) {
                written.addAll(r.runs());
            }
        }
        assertEquals(written, starts);
    }

    @Test
    public void aRecordThatTheStoreNeverAcceptsDoesNotHoldUpTheOthers() {
        // Guards against an owner that repeats a refused append for good.
        mLog.limitRecordBytes(1000);
        OwnerJournal journal = openJournal();
        List<StoreOutcome> outcomes = new ArrayList<>();
        int[] stored = {0};
        int[] refused = {0};
        journal.store(new OwnerHeartbeat(1, "a", 0), () -> stored[0]++);
        journal.store(new OwnerHeartbeat(1, "b", 1), () -> stored[0]++);
        journal.store(new OwnerHeartbeat(1, "x".repeat(2000), 1), () -> {}, () -> refused[0]++);
        journal.storeHandedOver(new byte[2000], outcomes::add);
        journal.store(new OwnerHeartbeat(1, "c", 2), () -> stored[0]++);
        pass(1000);

        assertEquals(refused[0], 1);
        assertEquals(outcomes, List.of(StoreOutcome.NOT_STORED));
        assertEquals(stored[0], 3);
    }

    @Test
    public void anAppendHoldsNoMoreThanTheStoreAccepts() {
        // Guards against a backlog whose append the store refuses as a whole.
        OwnerJournal journal = openJournal();
        for (int i = 0; i < 300; i++) {
            journal.storeHandedOver(new byte[64 << 10], o -> {});
        }
        pass(1000);

        assertEquals(storedCount(), 300);
        for (int bytes : mLog.ownerAppendBytes()) {
            assertTrue(bytes <= 2 << 20, bytes + " bytes in an append");
        }
    }
}
