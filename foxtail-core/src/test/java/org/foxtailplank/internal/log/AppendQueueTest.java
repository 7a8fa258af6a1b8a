package org.foxtailplank.internal.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.internal.membership.Backoff;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests appends through failures and outages with a fake clock. */
public final class AppendQueueTest {

    private static final long MILLI = 1_000_000;
    private static final long LATE = 1000 * MILLI;
    private static final long HOUR = 3_600_000 * MILLI;
    private static final int MAX_GROUPS = 100;

    private AppendQueue mQueue;
    private long mNow;

    @BeforeMethod
    public void startQueue() {
        mNow = 0;
        mQueue = queue(1);
    }

    @Test
    public void queuedGroupsAreSentInOneBatch() {
        offer(1, HOUR);
        offer(2, HOUR);
        findEnd(5);
        assertEquals(appendStep(), List.of(1L, 2L));
        List<GroupResult> results = mQueue.appended(5, 7);
        assertEquals(results.get(0).outcome(), new AppendOutcome.Appended(5, 7));
        assertEquals(results.get(1).outcome(), new AppendOutcome.Appended(6, 7));
        assertTrue(mQueue.isEmpty());
    }

    @Test
    public void batchIsBounded() {
        for (long i = 1; i <= 5; i++) {
            offer(i, HOUR);
        }
        findEnd(1);
        assertEquals(appendStep(), List.of(1L, 2L, 3L));
    }

    @Test
    public void queueIsBounded() {
        for (long i = 1; i <= MAX_GROUPS; i++) {
            assertTrue(mQueue.offer(group(i, HOUR)));
        }
        assertFalse(mQueue.offer(group(MAX_GROUPS + 1, HOUR)));
    }

    @Test
    public void rejectedBatchIsRetriedAfterABackoff() {
        offer(1, HOUR);
        findEnd(1);
        appendStep();
        mQueue.refused(mNow);
        AppendStep.Wait wait = (AppendStep.Wait) mQueue.next(mNow);
        assertTrue(wait.until() > mNow);
        mNow = wait.until();
        assertEquals(appendStep(), List.of(1L));
    }

    /** Guards against duplicate records when the response to a successful append is lost. */
    @Test
    public void lostResponseIsResolvedByReadingBack() {
        offer(1, HOUR);
        findEnd(5);
        appendStep();
        mQueue.responseLost(mNow);
        assertEquals(readBackStep(), 5);
        List<GroupResult> results = mQueue.readBack(page(1, 8, record(5, 9), record(6, 1)), mNow);
        assertEquals(results.get(0).outcome(), new AppendOutcome.Appended(6, 8));
        assertTrue(mQueue.isEmpty());
    }

    /** Guards against duplicate records when a delayed append takes effect after the first read. */
    @Test
    public void delayedAppendIsNotRetried() {
        offer(1, HOUR);
        findEnd(5);
        appendStep();
        mQueue.responseLost(mNow);
        readBackStep();
        assertTrue(mQueue.readBack(page(1, 5), mNow).isEmpty());
        assertEquals(readBackStep(), 5);
        List<GroupResult> results = mQueue.readBack(page(1, 6, record(5, 1)), mNow);
        assertEquals(results.get(0).outcome(), new AppendOutcome.Appended(5, 6));
    }

    @Test
    public void missingBatchIsRetriedOnceADelayedCallCannotTakeEffect() {
        offer(1, HOUR);
        findEnd(5);
        appendStep();
        mQueue.responseLost(mNow);
        long lost = mNow;
        while (mNow < lost + LATE) {
            assertEquals(readBackStep(), 5);
            mQueue.readBack(page(1, 5), mNow);
        }
        assertEquals(appendStep(), List.of(1L));
    }

    /** Guards against false outcomes and excessive retries during a five-hour platform outage. */
    @Test
    public void appendIsResolvedAfterALongOutage() {
        offer(1, 10 * HOUR);
        findEnd(5);
        appendStep();
        mQueue.responseLost(mNow);
        int attempts = 0;
        while (mNow < 5 * HOUR) {
            readBackStep();
            mQueue.readFailed(mNow);
            attempts++;
        }
        assertTrue(attempts < 5 * 3600, "attempts: " + attempts);
        readBackStep();
        List<GroupResult> results = mQueue.readBack(page(1, 6, record(5, 1)), mNow);
        assertEquals(results.get(0).outcome(), new AppendOutcome.Appended(5, 6));
    }

    @Test
    public void expiredGroupsGetTheKnownOutcome() {
        offer(1, 100 * MILLI);
        findEnd(5);
        appendStep();
        offer(2, 100 * MILLI);
        mQueue.responseLost(mNow);
        assertTrue(mQueue.removeExpired(99 * MILLI).isEmpty());
        Map<Long, AppendOutcome> outcomes = byNumber(mQueue.removeExpired(100 * MILLI));
        assertTrue(outcomes.get(1L) instanceof AppendOutcome.Unresolved);
        assertTrue(outcomes.get(2L) instanceof AppendOutcome.NotAppended);
        assertTrue(mQueue.isEmpty());
    }

    /** The record may have been appended and have expired during an outage. */
    @Test
    public void expiredRecordsLeaveTheAppendUnresolved() {
        offer(1, HOUR);
        findEnd(5);
        appendStep();
        mQueue.responseLost(mNow);
        readBackStep();
        List<GroupResult> results = mQueue.readBack(page(9, 12), mNow);
        assertTrue(results.get(0).outcome() instanceof AppendOutcome.Unresolved);
    }

    @Test
    public void truncatedLogLeavesTheAppendUnresolved() {
        offer(1, HOUR);
        findEnd(5);
        appendStep();
        mQueue.responseLost(mNow);
        readBackStep();
        List<GroupResult> results = mQueue.readBack(page(1, 1), mNow);
        assertTrue(results.get(0).outcome() instanceof AppendOutcome.Unresolved);
        offer(2, HOUR);
        assertEquals(appendStep(), List.of(2L));
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[20][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /**
     * Guards against reported outcomes that contradict the log, with random rejections, lost
     * responses and delayed calls.
     */
    @Test(dataProvider = "seeds")
    public void reportedOutcomesMatchTheLog(long seed) {
        Random random = new Random(seed);
        mQueue = queue(seed);
        List<Long> log = new ArrayList<>();
        List<LateCall> lateCalls = new ArrayList<>();
        Map<Long, AppendOutcome> outcomes = new HashMap<>();
        long offered = 0;
        for (int round = 0; round < 2000 || !mQueue.isEmpty(); round++) {
            if (round < 1000 && random.nextInt(3) == 0) {
                AppendGroup group = group(offered + 1, mNow + random.nextInt(3000) * MILLI);
                offered += mQueue.offer(group) ? 1 : 0;
            }
            applyLateCalls(lateCalls, log);
            outcomes.putAll(byNumber(step(random, log, lateCalls)));
            outcomes.putAll(byNumber(mQueue.removeExpired(mNow)));
        }
        mNow += HOUR;
        applyLateCalls(lateCalls, log);
        assertEquals(outcomes.size(), offered);
        assertConsistent(outcomes, log);
    }

    /** A call that takes effect after its response was given up. */
    private record LateCall(long at, List<Long> numbers) {}

    private void applyLateCalls(List<LateCall> lateCalls, List<Long> log) {
        lateCalls.removeIf(
                l -> {
                    boolean due = l.at() <= mNow;
                    if (due) {
                        log.addAll(l.numbers());
                    }
                    return due;
                });
    }

    private List<GroupResult> step(Random random, List<Long> log, List<LateCall> lateCalls) {
        AppendStep step = mQueue.next(mNow);
        boolean answered = random.nextInt(3) > 0;
        if (step instanceof AppendStep.Wait wait) {
            mNow = Math.max(wait.until(), mNow + 1);
        } else if (step instanceof AppendStep.Idle) {
            mNow += MILLI;
        } else if (!answered && !(step instanceof AppendStep.Append)) {
            mQueue.readFailed(mNow);
        } else if (step instanceof AppendStep.FindEnd) {
            mQueue.endFound(log.size() + 1);
        } else if (step instanceof AppendStep.ReadBack back) {
            return mQueue.readBack(pageOf(log, back.from(), random.nextInt(3) + 1), mNow);
        } else if (step instanceof AppendStep.Append append) {
            return append(random, append, log, lateCalls);
        }
        return List.of();
    }

    private List<GroupResult> append(
            Random random, AppendStep.Append append, List<Long> log, List<LateCall> lateCalls) {
        List<Long> numbers = append.groups().stream().map(AppendGroup::number).toList();
        long first = log.size() + 1;
        switch (random.nextInt(5)) {
            case 0 -> mQueue.refused(mNow);
            case 1 -> mQueue.responseLost(mNow);
            case 2 -> {
                log.addAll(numbers);
                mQueue.responseLost(mNow);
            }
            case 3 -> {
                lateCalls.add(new LateCall(mNow + random.nextInt((int) LATE), numbers));
                mQueue.responseLost(mNow);
            }
            default -> {
                log.addAll(numbers);
                return mQueue.appended(first, log.size() + 1);
            }
        }
        return List.of();
    }

    private static void assertConsistent(Map<Long, AppendOutcome> outcomes, List<Long> log) {
        Set<Long> distinct = new HashSet<>(log);
        assertEquals(log.size(), distinct.size(), "duplicate record on the log");
        outcomes.forEach(
                (number, outcome) -> {
                    if (outcome instanceof AppendOutcome.Appended a) {
                        assertEquals(log.indexOf(number) + 1, a.first());
                    } else if (outcome instanceof AppendOutcome.NotAppended) {
                        assertFalse(distinct.contains(number), number + " is on the log");
                    }
                });
    }

    private static AppendQueue queue(long seed) {
        AppendLimits limits = new AppendLimits(MAX_GROUPS, 3, 1000, LATE);
        AppendRateLimiter rateLimiter = new AppendRateLimiter(1e6, 1, 1, 0, 0);
        return new AppendQueue(
                limits, rateLimiter, new Backoff(10 * MILLI, 2000 * MILLI, new Random(seed)));
    }

    private void offer(long number, long deadline) {
        assertTrue(mQueue.offer(group(number, deadline)));
    }

    private static AppendGroup group(long number, long deadline) {
        return new AppendGroup(number, List.of(id(number)), 10, deadline);
    }

    private void findEnd(long end) {
        assertEquals(nextStep(), new AppendStep.FindEnd());
        mQueue.endFound(end);
    }

    private List<Long> appendStep() {
        AppendStep.Append append = (AppendStep.Append) nextStep();
        return append.groups().stream().map(AppendGroup::number).toList();
    }

    private long readBackStep() {
        return ((AppendStep.ReadBack) nextStep()).from();
    }

    private AppendStep nextStep() {
        AppendStep step = mQueue.next(mNow);
        while (step instanceof AppendStep.Wait wait) {
            mNow = wait.until();
            step = mQueue.next(mNow);
        }
        return step;
    }

    private static Map<Long, AppendOutcome> byNumber(List<GroupResult> results) {
        Map<Long, AppendOutcome> outcomes = new HashMap<>();
        results.forEach(s -> outcomes.put(s.group().number(), s.outcome()));
        return outcomes;
    }

    private static LogPage pageOf(List<Long> log, long from, int limit) {
        List<LoggedRecord> records = new ArrayList<>();
        for (long offset = from; offset <= log.size() && records.size() < limit; offset++) {
            records.add(record(offset, log.get((int) offset - 1)));
        }
        return new LogPage(1, log.size() + 1, records);
    }

    private static LogPage page(long oldest, long end, LoggedRecord... records) {
        return new LogPage(oldest, end, List.of(records));
    }

    private static LoggedRecord record(long offset, long number) {
        return new LoggedRecord(offset, id(number));
    }

    private static RecordId id(long number) {
        return RecordId.of("r" + number);
    }
}
