package org.foxtailplank.node.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.admission.RefusalRegister;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a job in the journal whose caller was told by another node that it never runs. */
public class GuardedHandoverTest {
    private static final String JOB = "00000000000000aa";

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private RefusalRegister mRegister;
    private List<byte[]> mStored;
    private List<StoreOutcome> mOutcomes;
    private boolean mEnabled;
    private boolean mAnswers;
    private List<Consumer<StoreOutcome>> mUnanswered;
    private JournalWriter mWriter;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mRegister = new RefusalRegister();
        for (int i = 0; i <= 30; i++) {
            mRegister.recordHealth(true, mTime.nowMs());
            mTime.advance(200);
        }
        mStored = new ArrayList<>();
        mOutcomes = new ArrayList<>();
        mEnabled = true;
        mAnswers = true;
        mUnanswered = new ArrayList<>();
        Handover owner =
                new Handover() {
                    @Override
                    public boolean isAvailable() {
                        return true;
                    }

                    @Override
                    public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
                        mStored.add(record);
                        if (mAnswers) {
                            callback.accept(StoreOutcome.STORED);
                        } else {
                            mUnanswered.add(callback);
                        }
                    }
                };
        mWriter =
                new JournalWriter(
                        mLog,
                        JournalPartitions.PRIMARY,
                        new GuardedHandover(
                                owner, () -> Optional.of(mRegister), mTime, () -> mEnabled),
                        mTime,
                        mTime,
                        NodeLog.silent(mTime));
    }

    private static JournalRecord accepted() {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        TaskStep step =
                new TaskStep(
                        1,
                        new Resources(1000, 1, 0),
                        100,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        return new JobAccepted(
                new JobDefinition(
                        JOB, "q", "s", "", List.of(step), Timetable.AT_ONCE, policy, 0, 0, ""));
    }

    private void store(JournalRecord record) {
        mWriter.store(record, mTime.nowMs() + 3000, mOutcomes::add);
        for (int i = 0; i < 10; i++) {
            mLog.deliverAnswers();
            mTime.advance(10);
        }
    }

    @Test
    public void aJobThatAnotherNodeHasRefusedIsNeitherStoredNorAppended() {
        assertTrue(mRegister.tryRefuse(JOB, 900, mTime.nowMs()));
        store(accepted());

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        assertTrue(mStored.isEmpty());
        assertTrue(mLog.records(JournalPartitions.PRIMARY).isEmpty());
    }

    @Test
    public void aJobThatAnotherNodeHasHandedOverIsNotRefused() {
        store(accepted());

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
        assertFalse(mRegister.tryRefuse(JOB, 900, mTime.nowMs()));
    }

    private boolean isRefusedAfter(long ms) {
        for (long t = 0; t < ms; t += 200) {
            mTime.advance(200);
            mRegister.recordHealth(true, mTime.nowMs());
        }
        return mRegister.tryRefuse(JOB, 900, mTime.nowMs());
    }

    @Test
    public void aJobThatWaitsAtTheOwnerDuringALostStoreIsNotRefused() {
        mAnswers = false;
        store(accepted());
        assertFalse(isRefusedAfter(20_000));

        mUnanswered.get(0).accept(StoreOutcome.NOT_STORED);
        assertFalse(isRefusedAfter(4800));
        assertTrue(isRefusedAfter(200));
    }

    @Test
    public void aJobThatMayBeStoredIsNotRefusedForLonger() {
        mAnswers = false;
        store(accepted());
        mUnanswered.get(0).accept(StoreOutcome.UNKNOWN);
        assertFalse(isRefusedAfter(9800));

        assertTrue(isRefusedAfter(200));
    }

    @Test
    public void otherRecordsOfARefusedJobAreStored() {
        mRegister.tryRefuse(JOB, 900, mTime.nowMs());
        store(new JobCancelled(JOB, 1));

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
    }

    @Test
    public void everythingIsStoredWithoutAdmission() {
        mEnabled = false;
        mRegister.tryRefuse(JOB, 900, mTime.nowMs());
        store(accepted());

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
    }
}
