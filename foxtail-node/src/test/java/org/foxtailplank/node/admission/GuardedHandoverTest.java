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
    private JournalWriter mWriter;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mRegister = new RefusalRegister(mTime.nowMs() - 10_000);
        mStored = new ArrayList<>();
        mOutcomes = new ArrayList<>();
        mEnabled = true;
        Handover owner =
                new Handover() {
                    @Override
                    public boolean isAvailable() {
                        return true;
                    }

                    @Override
                    public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
                        mStored.add(record);
                        callback.accept(StoreOutcome.STORED);
                    }
                };
        mWriter =
                new JournalWriter(
                        mLog,
                        JournalPartitions.PRIMARY,
                        new GuardedHandover(
                                owner,
                                job -> mRegister.tryStore(job, mTime.nowMs()),
                                () -> mEnabled),
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
        assertTrue(mRegister.tryRefuse(JOB, mTime.nowMs()));
        store(accepted());

        assertEquals(mOutcomes, List.of(StoreOutcome.NOT_STORED));
        assertTrue(mStored.isEmpty());
        assertTrue(mLog.records(JournalPartitions.PRIMARY).isEmpty());
    }

    @Test
    public void aJobThatAnotherNodeHasHandedOverIsNotRefused() {
        store(accepted());

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
        assertFalse(mRegister.tryRefuse(JOB, mTime.nowMs()));
    }

    @Test
    public void otherRecordsOfARefusedJobAreStored() {
        mRegister.tryRefuse(JOB, mTime.nowMs());
        store(new JobCancelled(JOB, 1));

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
    }

    @Test
    public void everythingIsStoredWithoutAdmission() {
        mEnabled = false;
        mRegister.tryRefuse(JOB, mTime.nowMs());
        store(accepted());

        assertEquals(mOutcomes, List.of(StoreOutcome.STORED));
    }
}
