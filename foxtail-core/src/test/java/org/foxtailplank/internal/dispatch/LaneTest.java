package org.foxtailplank.internal.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.admission.Ticket;
import org.foxtailplank.internal.routing.AttemptEnd;
import org.foxtailplank.internal.routing.ConnectionShare;
import org.foxtailplank.internal.routing.Router;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.request.RequestClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LaneTest {

    private static final long MS = 1_000_000L;
    private static final long DEADLINE = 1000 * MS;
    private static final ServiceId SERVICE = ServiceId.of("claims");

    private Lane<String> mDispatcher;
    private long mNow;

    @BeforeMethod
    public void start() {
        ZoneId zone = ZoneId.of("z1");
        Router router = new Router(zone, MS, new SplittableRandom(3));
        List<BackendServer> servers =
                IntStream.range(0, 4)
                        .mapToObj(
                                i ->
                                        new BackendServer(
                                                VmId.of("vm" + i),
                                                SERVICE,
                                                zone,
                                                new InetSocketAddress("127.0.0.1", 1 + i)))
                        .toList();
        router.list(servers, s -> new ConnectionShare(2, 1));
        mDispatcher = new Lane<>(SERVICE, router, t -> 1, 0.1);
        mNow = 1;
    }

    @DataProvider
    public Object[][] safeRetries() {
        return new Object[][] {
            {RunRule.REPEATABLE, AttemptEnd.BROKEN, true},
            {RunRule.REPEATABLE, AttemptEnd.SERVER_ERROR, true},
            {RunRule.REPEATABLE, AttemptEnd.BUSY, true},
            {RunRule.ONCE_BY_KEY, AttemptEnd.BROKEN, false},
            {RunRule.ONCE_BY_KEY, AttemptEnd.SERVER_ERROR, false},
            {RunRule.ONCE_BY_KEY, AttemptEnd.BUSY, true},
            {RunRule.ONCE, AttemptEnd.BROKEN, false},
            {RunRule.ONCE, AttemptEnd.SERVER_ERROR, false},
            {RunRule.ONCE, AttemptEnd.BUSY, false},
            {RunRule.ONCE, AttemptEnd.REFUSED, true},
            {RunRule.ONCE, AttemptEnd.NOT_CONNECTED, true},
            {RunRule.REPEATABLE, AttemptEnd.GOOD, false},
        };
    }

    @Test(dataProvider = "safeRetries")
    public void retriesOnlyWhenItIsSafe(RunRule safety, AttemptEnd outcome, boolean retried) {
        Attempt<String> first = send(safety);
        assertEquals(mDispatcher.ended(first, outcome, mNow).isPresent(), retried);
    }

    @Test
    public void retriesOnAnotherInstance() {
        Attempt<String> first = send(RunRule.REPEATABLE);
        Attempt<String> second = mDispatcher.ended(first, AttemptEnd.BROKEN, mNow).orElseThrow();
        assertNotEquals(second.target().server(), first.target().server());
    }

    @Test
    public void retriesUnsentRequestsOnTheSameInstanceIfThereIsNoOther() {
        List<Attempt<String>> others =
                IntStream.range(0, 6).mapToObj(i -> send(RunRule.ONCE)).toList();
        Attempt<String> first = send(RunRule.ONCE);
        Attempt<String> last = send(RunRule.ONCE);
        assertEquals(others.size(), 6);
        Attempt<String> again =
                mDispatcher.ended(first, AttemptEnd.NOT_CONNECTED, mNow).orElseThrow();
        assertEquals(again.target(), first.target());
        assertFalse(mDispatcher.ended(last, AttemptEnd.BUSY, mNow).isPresent());
    }

    /** Guards against retries that multiply the load while all instances fail. */
    @Test
    public void retriesStayWithinTheBudgetWhenAllAttemptsFail() {
        int attempts = 0;
        for (int i = 0; i < 1000; i++) {
            Optional<Attempt<String>> a = Optional.of(send(RunRule.REPEATABLE));
            while (a.isPresent()) {
                attempts++;
                a = mDispatcher.ended(a.get(), AttemptEnd.BROKEN, mNow);
            }
        }
        assertTrue(attempts <= 1000 + 100 + 10, "attempts for 1000 requests: " + attempts);
    }

    @Test
    public void retriesNothingAfterTheDeadline() {
        Attempt<String> first = send(RunRule.REPEATABLE);
        mNow += DEADLINE;
        assertFalse(mDispatcher.ended(first, AttemptEnd.BROKEN, mNow).isPresent());
    }

    @Test
    public void reservesTimeForARetryOnlyIfOneIsAllowed() {
        assertTrue(send(RunRule.REPEATABLE).timeout() < DEADLINE);
        assertEquals(send(RunRule.ONCE).timeout(), DEADLINE);
    }

    @Test
    public void queuesARequestUntilAnInstanceIsAvailable() {
        List<Attempt<String>> running =
                IntStream.range(0, 8).mapToObj(i -> send(RunRule.ONCE)).toList();
        mDispatcher.add(request(RunRule.ONCE));
        assertFalse(mDispatcher.next(mNow).isPresent());
        mDispatcher.ended(running.get(0), AttemptEnd.GOOD, mNow + MS);
        assertTrue(mDispatcher.next(mNow + MS).isPresent());
    }

    @Test
    public void rejectsRequestsThatWouldMissTheirDeadline() {
        for (int i = 0; i < 50; i++) {
            Attempt<String> a = send(RunRule.REPEATABLE);
            mNow += (i % 2 == 0 ? 10 : 30) * MS;
            mDispatcher.ended(a, AttemptEnd.GOOD, mNow);
        }
        PendingRequest<String> urgent =
                PendingRequest.of(
                        new Ticket<>("r", RequestClass.URGENT, "t", mNow + 25 * MS, 1),
                        RunRule.REPEATABLE);
        assertFalse(mDispatcher.check(urgent, mNow).admitted());
        assertTrue(mDispatcher.check(request(RunRule.ONCE), mNow).admitted());
    }

    /** Guards against rejecting all requests forever after a start slower than any deadline. */
    @Test
    public void admitsRequestsAgainAfterASlowStart() {
        Attempt<String> slow = send(RunRule.ONCE);
        mNow += 2 * DEADLINE;
        mDispatcher.ended(slow, AttemptEnd.GOOD, mNow);
        assertFalse(mDispatcher.check(request(RunRule.ONCE), mNow).admitted());

        mNow += 3 * DEADLINE;

        assertTrue(mDispatcher.check(request(RunRule.ONCE), mNow).admitted());
    }

    private Attempt<String> send(RunRule safety) {
        mDispatcher.add(request(safety));
        return mDispatcher.next(mNow).orElseThrow();
    }

    private PendingRequest<String> request(RunRule safety) {
        return PendingRequest.of(
                new Ticket<>("r", RequestClass.INTERACTIVE, "t", mNow + DEADLINE, 1), safety);
    }
}
