package org.foxtailplank.admission;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against shares that are used again with each report while a slow store delays jobs. */
public class UnsettledJobsTest {
    private UnsettledJobs mJobs;

    @BeforeMethod
    public void setUp() {
        mJobs = new UnsettledJobs();
    }

    @Test
    public void aJobCountsUntilAMeasurementContainsIt() {
        mJobs.add("a", "s", 100, 1000);

        assertEquals(mJobs.workMissingIn("s", 1200, 1210), 100);
        mJobs.known("a", 1300);
        assertEquals(mJobs.workMissingIn("s", 1299, 1310), 100);
        assertEquals(mJobs.workMissingIn("s", 1300, 1310), 0);
    }

    @Test
    public void jobsOfAnotherServiceDoNotCount() {
        mJobs.add("a", "s", 100, 1000);

        assertEquals(mJobs.workMissingIn("other", 1000, 1000), 0);
    }

    @Test
    public void jobsAreRemovedAlsoWhileNoMeasurementArrives() {
        // A node that hears no owner for long must not keep all jobs that it accepts.
        mJobs.add("a", "s", 100, 1000);
        mJobs.add("b", "s", 100, 1001 + UnsettledJobs.MAX_AGE_MS);

        assertEquals(mJobs.size(), 1);
    }

    @Test
    public void aJobThatIsNotStoredDoesNotCount() {
        mJobs.add("a", "s", 100, 1000);
        mJobs.removeUnstored("a");

        assertEquals(mJobs.workMissingIn("s", 1000, 1000), 0);
    }

    @Test
    public void aJobThatNeverBecomesKnownCountsForAWhileOnly() {
        // Otherwise the room of a lost job would be missing until the node restarts.
        mJobs.add("a", "s", 100, 1000);

        assertEquals(mJobs.workMissingIn("s", 3000, 1000 + UnsettledJobs.MAX_AGE_MS), 100);
        assertEquals(mJobs.workMissingIn("s", 3000, 1001 + UnsettledJobs.MAX_AGE_MS), 0);
    }
}
