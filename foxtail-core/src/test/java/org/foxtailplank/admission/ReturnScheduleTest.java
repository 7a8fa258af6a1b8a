package org.foxtailplank.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when refused callers are asked to return to a pool of 100 cores. */
public class ReturnScheduleTest {
    private static final long NOW_MS = 50_000;
    private static final long SECOND_OF_POOL = 100_000 * 1000L;

    /** Jobs of this work that the pool does in a second: ten cores for a second each. */
    private static final int JOBS_PER_S = 10;

    private static final AdmittedShare SHARE = new AdmittedShare(SECOND_OF_POOL);

    private ReturnSchedule mSchedule;

    @BeforeMethod
    public void setUp() {
        mSchedule = new ReturnSchedule();
    }

    /** A job with an objective of 11.6 s, whose benefit ends after 34.8 s. */
    private static JobDefinition job(String id) {
        return job(id, "surveys");
    }

    private static JobDefinition job(String id, String service) {
        TaskStep step =
                new TaskStep(
                        10,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        return new JobDefinition(
                id,
                "queue",
                service,
                "text",
                List.of(step),
                Timetable.AT_ONCE,
                new QueuePolicy(1, 2, 1.6, 10_000, Optional.empty()),
                0,
                0,
                "");
    }

    private static Verdict verdict(String id, double secondsAhead, long nowMs) {
        QueueCapacity capacity =
                new QueueCapacity(
                        "surveys",
                        nowMs,
                        100_000,
                        0,
                        List.of(),
                        (long) (secondsAhead * SECOND_OF_POOL),
                        0,
                        0,
                        Map.of());
        return AdmissionDecider.decide(
                job(id), capacity, AdmissionMode.BEYOND_OBJECTIVE, AdmittedShare.UNLIMITED, nowMs);
    }

    private Optional<Integer> refuse(String id, double secondsAhead, long nowMs) {
        return mSchedule.refused(job(id), verdict(id, secondsAhead, nowMs), 1, nowMs);
    }

    private long shareLeftFor(String id, long nowMs) {
        return mSchedule.shareFor(job(id), SHARE, nowMs).work();
    }

    @Test
    public void callersReturnAsFastAsTheyCanBeServed() {
        // Guards against callers that are refused together and return together.
        Map<Integer, Integer> bySecond = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            bySecond.merge(refuse("job" + i, 12, NOW_MS).get(), 1, Integer::sum);
        }

        assertEquals(bySecond.size(), 10);
        for (int s = 12; s < 22; s++) {
            assertEquals((int) bySecond.get(s), JOBS_PER_S, "in second " + s);
        }
    }

    @Test
    public void aPlaceStaysInItsQueueIfTheServiceOfItsRouteChanges() {
        // Guards against work that is due in one pool and removed from the plan of another.
        assertEquals(refuse("a", 12, NOW_MS), Optional.of(12));
        long lateMs = NOW_MS + 13_000;
        mSchedule.refused(job("a", "reports"), verdict("a", 15, lateMs), 1, lateMs);

        assertEquals(shareLeftFor("new", lateMs), SHARE.work());
    }

    @Test
    public void nodesShareTheCapacityForReturns() {
        Map<Integer, Integer> bySecond = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            Verdict verdict = verdict("job" + i, 12, NOW_MS);
            int returnS = mSchedule.refused(job("job" + i), verdict, 0.2, NOW_MS).get();
            bySecond.merge(returnS, 1, Integer::sum);
        }

        assertEquals(bySecond.size(), 5);
    }

    @Test
    public void aCallerWhoseJobWillHaveNoBenefitIsNotAskedToReturn() {
        assertEquals(refuse("possible", 34, NOW_MS), Optional.of(34));
        assertEquals(refuse("late", 35, NOW_MS), Optional.empty());
        assertEquals(mSchedule.returning("late", NOW_MS + 100), new Returning(100, false));
    }

    @Test
    public void noReturnIsLaterThanTheBenefitOfTheJob() {
        int places = 0;
        for (int i = 0; i < 1000; i++) {
            Optional<Integer> returnS = refuse("job" + i, 12, NOW_MS + i);
            assertTrue(returnS.isEmpty() || returnS.get() <= 34);
            places += returnS.isPresent() ? 1 : 0;
        }

        assertEquals(places, 230, 10, "places from 12 to 34 s");
    }

    @Test
    public void aCallerThatReturnsEarlyKeepsItsTime() {
        // Guards against callers that lose their place by asking again.
        for (int i = 0; i < 50; i++) {
            refuse("job" + i, 12, NOW_MS);
        }

        assertEquals(refuse("job0", 12, NOW_MS + 4000), Optional.of(8));
        assertFalse(mSchedule.returning("job0", NOW_MS + 11_900).due());
        assertTrue(mSchedule.returning("job0", NOW_MS + 12_000).due());
    }

    @Test
    public void aCallerThatReturnsLateGoesAheadOfNewOnes() {
        for (int i = 0; i < 100; i++) {
            refuse("job" + i, 12, NOW_MS);
        }

        assertEquals(refuse("job0", 2.5, NOW_MS + 12_500), Optional.of(3));
        assertEquals(refuse("new", 2.5, NOW_MS + 12_500), Optional.of(10));
    }

    @Test
    public void newJobsLeaveTheirShareToThoseRefusedEarlier() {
        // Guards against new jobs that take what returning ones were promised.
        for (int i = 0; i < 15; i++) {
            refuse("job" + i, 12, NOW_MS);
        }
        assertEquals(shareLeftFor("new", NOW_MS + 11_900), SHARE.work());
        assertEquals(shareLeftFor("new", NOW_MS + 12_000), 0);
        assertEquals(shareLeftFor("job0", NOW_MS + 12_000), SHARE.work());
        assertEquals(shareLeftFor("job14", NOW_MS + 13_000), 0);
        for (int i = 0; i < 5; i++) {
            mSchedule.accepted("job" + i, NOW_MS + 12_000);
        }

        assertEquals(shareLeftFor("new", NOW_MS + 12_000), SHARE.work() / 2);
    }

    @Test
    public void capacityIsNotKeptForCallersThatNeverReturn() {
        // Guards against a pool that idles for callers that gave up.
        for (int i = 0; i < 150; i++) {
            refuse("job" + i, 12, NOW_MS);
        }
        long first = SHARE.work() - shareLeftFor("new", NOW_MS + 13_000);
        long last = SHARE.work() - shareLeftFor("new", NOW_MS + 24_000);

        assertEquals(first, 2 * SHARE.work());
        assertTrue(last < first / 8, "kept: " + last);
        assertEquals(shareLeftFor("new", NOW_MS + 40_000), SHARE.work());
    }

    @Test
    public void refusedJobsAreForgottenWhenTheyHaveNoBenefit() {
        // Guards against memory that grows with the refusals.
        for (int i = 0; i < ReturnSchedule.MAX_PLACES + 1000; i++) {
            refuse("job" + i, 12, NOW_MS);
        }
        assertEquals(mSchedule.size(), ReturnSchedule.MAX_PLACES);
        mSchedule.returning("job0", NOW_MS + 35_000);
        mSchedule.returning("job0", NOW_MS + 36_000);

        assertEquals(mSchedule.size(), 0);
    }

    @Test
    public void aJobThatIsAcceptedLosesItsPlace() {
        refuse("job", 12, NOW_MS);
        mSchedule.accepted("job", NOW_MS + 1000);

        assertEquals(mSchedule.returning("job", NOW_MS + 1000), Returning.FIRST_TIME);
        assertEquals(mSchedule.size(), 0);
    }

    @Test
    public void theTableFindsWhatAMapFinds() {
        Random random = new Random(1);
        PlaceTable table = new PlaceTable(100_000);
        Map<Long, Long> map = new HashMap<>();
        for (int i = 0; i < 200_000; i++) {
            // Few low bits, so that entries collide.
            long key = 1 + random.nextInt(3000) * 64L;
            int index = table.find(key);
            assertEquals(index != PlaceTable.NONE, map.containsKey(key));
            if (index == PlaceTable.NONE) {
                table.put(key, new PlaceTable.Place(0, 0, 10, i, 0));
                map.put(key, (long) i);
            } else {
                assertEquals((Long) table.get(index).work(), map.get(key));
                table.remove(index);
                map.remove(key);
            }
            assertEquals(table.size(), map.size());
        }
    }
}
