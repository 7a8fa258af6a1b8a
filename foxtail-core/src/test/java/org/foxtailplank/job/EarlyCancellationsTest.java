package org.foxtailplank.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests cancellations of jobs that no node knows yet. */
public class EarlyCancellationsTest {
    private static final long RETENTION_MS = 120_000;
    private static final long NOW_MS = 5_000_000;
    private static final String JOB = "aa";

    private JobRegistry mRegistry;

    @BeforeMethod
    public void setUp() {
        mRegistry = new JobRegistry(RETENTION_MS);
    }

    private static JobAccepted accepted(String queue, String organisation) {
        return new JobAccepted(TestJobs.definition(JOB, queue, organisation, 1, NOW_MS));
    }

    private static CancelledId cancelled(String job, String queue, String organisation) {
        return new CancelledId(job, organisation, queue, NOW_MS);
    }

    private void cancel(CancelledId id) {
        mRegistry.apply(new UnknownJobsCancelled(List.of(id)));
    }

    private JobPhase phase() {
        return mRegistry.job(JOB).orElseThrow().phase();
    }

    @DataProvider
    public Object[][] scopes() {
        return new Object[][] {
            {"q", "", "q", "", true},
            {"other", "", "q", "", true},
            {"q", "org", "q", "org", true},
            {"other", "org", "q", "org", true},
            {"q", "intruder", "q", "org", false},
            {"q", "", "q", "org", true},
            {"other", "", "q", "org", false},
        };
    }

    /** Guards against organisations that cancel jobs which others hand in later. */
    @Test(dataProvider = "scopes")
    public void aJobIsCancelledInEitherOrderIfItsCallerMayCancelIt(
            String cancelledQueue,
            String cancelledBy,
            String queue,
            String organisation,
            boolean expected) {
        CancelledId id = cancelled(JOB, cancelledQueue, cancelledBy);
        JobPhase phase = expected ? JobPhase.CANCELLED : JobPhase.QUEUED;
        cancel(id);
        assertTrue(mRegistry.job(JOB).isEmpty());
        mRegistry.apply(accepted(queue, organisation));
        assertEquals(phase(), phase, "cancelled before it is known");

        mRegistry = new JobRegistry(RETENTION_MS);
        mRegistry.apply(accepted(queue, organisation));
        cancel(id);
        assertEquals(phase(), phase, "cancelled after it is known");
    }

    /** Guards against a cancellation that replaces the one of another organisation. */
    @Test
    public void cancellationsOfSeveralOrganisationsAreKept() {
        cancel(cancelled(JOB, "q", "org"));
        cancel(cancelled(JOB, "q", "intruder"));
        assertEquals(mRegistry.earlyCancellations().count(), 2);
        mRegistry.apply(accepted("q", "org"));

        assertEquals(phase(), JobPhase.CANCELLED);
        assertEquals(mRegistry.earlyCancellations().count(), 0);
    }

    /** Guards against a caller that pushes out the cancellations of others. */
    @Test
    public void eachOrganisationHasItsOwnBound() {
        EarlyCancellations kept = mRegistry.earlyCancellations();
        for (int i = 0; i < EarlyCancellations.MAX_PER_ORGANISATION; i++) {
            assertEquals(kept.fullForMs("flood", NOW_MS), 0);
            cancel(cancelled("f" + i, "q", "flood"));
        }
        cancel(cancelled(JOB, "q", "org"));

        assertEquals(kept.fullForMs("flood", NOW_MS + 1000), RETENTION_MS - 1000);
        assertEquals(kept.fullForMs("org", NOW_MS), 0);
        assertTrue(kept.contains(cancelled("f0", "q", "flood")));
        assertTrue(kept.contains(cancelled(JOB, "q", "org")));
        assertFalse(kept.contains(cancelled(JOB, "q", "flood")));
    }

    /** Guards against a bound that repeated requests for one job use up. */
    @Test
    public void aRepeatedCancellationIsKeptOnce() {
        cancel(cancelled(JOB, "q", "org"));
        cancel(new CancelledId(JOB, "org", "q", NOW_MS + 500));

        assertEquals(mRegistry.earlyCancellations().count(), 1);
    }

    @Test
    public void aCancellationIsKeptAsLongAsAnEndedJob() {
        cancel(cancelled(JOB, "q", "org"));
        cancel(cancelled("bb", "q", "org"));
        mRegistry.removeExpired(NOW_MS + RETENTION_MS);
        assertEquals(mRegistry.earlyCancellations().count(), 2);
        mRegistry.removeExpired(NOW_MS + RETENTION_MS + 1);

        assertEquals(mRegistry.earlyCancellations().count(), 0);
        assertFalse(mRegistry.earlyCancellations().contains(cancelled(JOB, "q", "org")));
    }
}
