package org.foxtailplank.node.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against decisions by reports that no longer hold. */
public class KnownCapacityTest {
    private static final long TOKEN = 7;
    private static final String SERVICE = "s";

    private KnownCapacity mKnown;

    @BeforeMethod
    public void setUp() {
        mKnown = new KnownCapacity();
    }

    private static JobDefinition job(String id) {
        return job(id, RunMode.PLAIN);
    }

    private static JobDefinition job(String id, RunMode mode) {
        TaskStep step =
                new TaskStep(
                        1,
                        new Resources(1000, 0, 0),
                        100,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        mode);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        return new JobDefinition(
                id, "q", SERVICE, "", List.of(step), Timetable.AT_ONCE, policy, 0, 0, "");
    }

    private long share(long nowMs) {
        return mKnown.pool(SERVICE, nowMs).orElseThrow().share().work();
    }

    @Test
    public void aReportAgesOutWhenNoFurtherOneArrives() {
        // A zone that is cut off, a silent connection and a lost owner look the same.
        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1000, 4, 0, 500)));

        assertTrue(mKnown.pool(SERVICE, 2000).isPresent());
        assertFalse(mKnown.pool(SERVICE, 2001).isPresent());
    }

    @Test
    public void aRestartedNodeKnowsNoCapacity() {
        assertFalse(new KnownCapacity().pool(SERVICE, 0).isPresent());
    }

    @Test
    public void aFormerOwnersReportIsIgnored() {
        mKnown.update(TOKEN + 1, List.of(TestPools.pool(SERVICE, 1000, 4, 0, 500)));
        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1100, 4, 0, 900)));

        assertEquals(share(1200), 500_000);
    }

    @Test
    public void aFormerOwnersReportIsDroppedWhenTheNextOneReports() {
        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1000, 4, 0, 500)));
        mKnown.update(TOKEN + 1, List.of());

        assertFalse(mKnown.pool(SERVICE, 1000).isPresent());
    }

    @Test
    public void acceptedJobsUseTheShareUpAndTheRestLapsesWithTheNextReport() {
        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1000, 4, 0, 500)));
        mKnown.accepted(job("a"), 1050);
        assertEquals(share(1060), 400_000);
        assertEquals(mKnown.pool(SERVICE, 1060).orElseThrow().capacity().inTimeWork(), 100_000);
        mKnown.known("a", 1080);

        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1200, 4, 0, 300)));
        assertEquals(share(1210), 300_000);
    }

    @Test
    public void standingJobsUseNoShare() {
        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1000, 4, 0, 500)));
        mKnown.accepted(job("a", new RunMode(false, true, false, false, 0, 0)), 1050);

        assertEquals(share(1060), 500_000);
    }

    @Test
    public void aJobThatASlowStoreDelaysCountsInTheNextReportToo() {
        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1000, 4, 0, 500)));
        mKnown.accepted(job("a"), 1050);

        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1200, 4, 0, 500)));
        assertEquals(share(1210), 400_000);
    }

    @Test
    public void aShareThatALostOwnerGaveIsNotUsedTwice() {
        // The next owner's first report may be measured before it has read the accepted jobs.
        mKnown.update(TOKEN, List.of(TestPools.pool(SERVICE, 1000, 4, 0, 500)));
        mKnown.accepted(job("a"), 1050);
        mKnown.accepted(job("b"), 1060);

        mKnown.update(TOKEN + 1, List.of(TestPools.pool(SERVICE, 1900, 4, 0, 500)));
        assertEquals(share(1950), 300_000);
    }

    @Test
    public void theAcceptedWorkIsReportedOnce() {
        mKnown.accepted(job("a"), 1050);

        assertEquals(mKnown.takeAcceptedWork().get(SERVICE).longValue(), 100_000);
        assertTrue(mKnown.takeAcceptedWork().isEmpty());
    }
}
