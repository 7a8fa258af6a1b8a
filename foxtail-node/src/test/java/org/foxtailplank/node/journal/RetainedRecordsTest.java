package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.Timetable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which records of the journal are still needed. */
public class RetainedRecordsTest {
    private static final long ENDED_RETENTION_MS = 120_000;
    private static final long WALL_MS = 5_000_000;

    /** All records were read before this time. */
    private static final long LATER_MS = 1000;

    private JobRegistry mRegistry;
    private RetainedRecords mRetained;

    @BeforeMethod
    public void setUp() {
        mRegistry = new JobRegistry(ENDED_RETENTION_MS);
        mRetained = new RetainedRecords(mRegistry);
    }

    private static JobAccepted accepted(String id) {
        return new JobAccepted(
                new JobDefinition(
                        id,
                        "q",
                        "service",
                        "text",
                        List.of(),
                        Timetable.AT_ONCE,
                        new QueuePolicy(0, 2, 1.6, 600, Optional.empty()),
                        WALL_MS,
                        0,
                        ""));
    }

    private RetainedRecord read(JournalRecord record) {
        RetainedRecord added =
                mRetained.add(0, JournalKey.number(JournalCodec.encode(record)), record, 0, false);
        mRegistry.apply(record);
        return added;
    }

    private void remove(RetainedRecord record) {
        mRetained.remove(record.partition(), record.key());
    }

    /** Guards against a removed record whose facts no copy contains. */
    @Test
    public void aRecordIsNeededUntilAllItsJobsAreCopied() {
        read(accepted("aa"));
        read(accepted("bb"));
        RetainedRecord both = read(new JobsStarted(List.of("aa", "bb")));
        long number = mRetained.lastNumber();
        mRetained.recordCopies(List.of("aa"), number);
        assertTrue(mRetained.isNeeded(both, LATER_MS));
        mRetained.recordCopies(List.of("bb"), number);

        assertFalse(mRetained.isNeeded(both, LATER_MS));
    }

    /** Guards against the removal of a fact that was stored while the copy was on its way. */
    @Test
    public void aRecordReadAfterTheCopyWasTakenIsNeeded() {
        read(accepted("aa"));
        long number = mRetained.lastNumber();
        RetainedRecord late = read(new JobsStarted(List.of("aa")));
        mRetained.recordCopies(List.of("aa"), number);

        assertTrue(mRetained.isNeeded(late, LATER_MS));
    }

    /** Guards against the removal of a record that a late append has stored again. */
    @Test
    public void aRecordThatIsStoredAgainIsNeeded() {
        RetainedRecord first = read(accepted("aa"));
        RetainedRecord again = mRetained.add(0, first.key(), accepted("aa"), 0, false);
        mRetained.recordCopies(List.of("aa"), first.number());

        assertEquals(mRetained.all().toList(), List.of(again));
        assertTrue(mRetained.isNeeded(again, LATER_MS));
        assertEquals(again.jobs().get(0).count(), 1);
    }

    /** Guards against an ended job that comes back, as only its end was removed. */
    @Test
    public void theDefinitionOfAForgottenJobIsRemovedFirst() {
        RetainedRecord definition = read(accepted("aa"));
        RetainedRecord end = read(new JobCancelled("aa", WALL_MS));
        assertTrue(mRetained.isNeeded(definition, LATER_MS));
        mRegistry.removeExpired(WALL_MS + ENDED_RETENTION_MS + 1);

        assertFalse(mRetained.isNeeded(definition, LATER_MS));
        assertTrue(mRetained.isNeeded(end, LATER_MS));
        remove(definition);
        assertFalse(mRetained.isNeeded(end, LATER_MS));
    }

    /** Guards against jobs that are lost as the wall clock of an owner was stepped ahead. */
    @Test
    public void theRecordsOfAForgottenJobAreNeededUntilTheyAreOldByTheMonotonicClock() {
        RetainedRecord definition = read(accepted("aa"));
        read(new JobCancelled("aa", WALL_MS));
        mRegistry.removeExpired(WALL_MS + ENDED_RETENTION_MS + 1);

        assertTrue(mRetained.isNeeded(definition, 0));
        assertFalse(mRetained.isNeeded(definition, 1));
    }

    /** Guards against a late submission that runs, as the record of its cancellation is gone. */
    @Test
    public void anEarlyCancellationIsNeededUntilItExpires() {
        RetainedRecord cancelled =
                read(new UnknownJobsCancelled(List.of(new CancelledId("aa", "", "q", WALL_MS))));
        assertTrue(mRetained.isNeeded(cancelled, LATER_MS));
        mRegistry.removeExpired(WALL_MS + ENDED_RETENTION_MS + 1);

        assertFalse(mRetained.isNeeded(cancelled, LATER_MS));
    }

    /**
     * Guards against a cancelled job that runs, as a node that starts knows its definition only.
     */
    @Test
    public void anEarlyCancellationOfAJobThatArrivedIsNeededUntilTheJobIsCopied() {
        RetainedRecord cancelled =
                read(new UnknownJobsCancelled(List.of(new CancelledId("aa", "", "q", WALL_MS))));
        read(accepted("aa"));
        assertTrue(mRetained.isNeeded(cancelled, LATER_MS));
        mRetained.recordCopies(List.of("aa"), mRetained.lastNumber());

        assertFalse(mRetained.isNeeded(cancelled, LATER_MS));
    }

    @Test
    public void rebootsAreNeededUntilTheirWaveIsCompletedAndItsCompletionForever() {
        RetainedRecord rebooted = read(new VmRebooted(1, "vm1"));
        assertTrue(mRetained.isNeeded(rebooted, LATER_MS));
        RetainedRecord completed = read(new WaveCompleted(1));

        assertFalse(mRetained.isNeeded(rebooted, LATER_MS));
        assertTrue(mRetained.isNeeded(completed, LATER_MS));
    }

    /** Guards against a record of each heartbeat that is never removed. */
    @Test
    public void heartbeatsOfOwnersReplaceEachOther() {
        byte[] first = JournalCodec.encode(new OwnerHeartbeat(1, "10.0.0.1:1", 0));
        byte[] second = JournalCodec.encode(new OwnerHeartbeat(2, "10.0.0.2:1", 400));

        assertEquals(new String(first, 1, 11), new String(second, 1, 11));
        assertEquals(JournalKey.number(first), JournalKey.NONE);
    }

    /**
     * Guards against a record that replaces another one, and against the removal of a wrong one.
     */
    @Test
    public void eachRecordHasAKeyOfItsOwnThatItsRemovalNames() {
        byte[] first = JournalCodec.encode(accepted("aa"));
        byte[] second = JournalCodec.encode(accepted("aa"));
        byte[] removal = JournalKey.removal(JournalKey.number(first));

        assertTrue(JournalKey.number(first) != JournalKey.number(second));
        assertEquals(removal, Arrays.copyOf(first, removal.length));
        assertTrue(JournalKey.isRemoval(removal));
        assertFalse(JournalKey.isRemoval(first));
        for (long number : new long[] {1, -1, Long.MIN_VALUE, Long.MAX_VALUE}) {
            assertEquals(JournalKey.number(JournalKey.removal(number)), number);
        }
    }
}
