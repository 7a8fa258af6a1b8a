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
import org.foxtailplank.internal.admission.QueuedRequest;
import org.foxtailplank.internal.routing.AttemptOutcome;
import org.foxtailplank.internal.routing.ConnectionShare;
import org.foxtailplank.internal.routing.Router;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.request.RequestClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ServiceDispatcherTest {

    private static final long MS = 1_000_000L;
    private static final long DEADLINE = 1000 * MS;
    private static final ServiceId SERVICE = ServiceId.of("claims");

    private ServiceDispatcher<String> mDispatcher;
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
        router.updateInstances(servers, s -> new ConnectionShare(2, 1));
        mDispatcher = new ServiceDispatcher<>(SERVICE, router, t -> 1, 0.1);
        mNow = 1;
    }

    @DataProvider
    public Object[][] safeRetries() {
        return new Object[][] {
            {RetrySafety.IDEMPOTENT, AttemptOutcome.NO_RESPONSE, true},
            {RetrySafety.IDEMPOTENT, AttemptOutcome.SERVER_ERROR, true},
            {RetrySafety.IDEMPOTENT, AttemptOutcome.BUSY, true},
            {RetrySafety.KEYED, AttemptOutcome.NO_RESPONSE, false},
            {RetrySafety.KEYED, AttemptOutcome.SERVER_ERROR, false},
            {RetrySafety.KEYED, AttemptOutcome.BUSY, true},
            {RetrySafety.NON_IDEMPOTENT, AttemptOutcome.NO_RESPONSE, false},
            {RetrySafety.NON_IDEMPOTENT, AttemptOutcome.SERVER_ERROR, false},
            {RetrySafety.NON_IDEMPOTENT, AttemptOutcome.BUSY, false},
            {RetrySafety.NON_IDEMPOTENT, AttemptOutcome.REFUSED, true},
            {RetrySafety.NON_IDEMPOTENT, AttemptOutcome.NOT_CONNECTED, true},
            {RetrySafety.IDEMPOTENT, AttemptOutcome.SUCCESS, false},
        };
    }

    @Test(dataProvider = "safeRetries")
    public void retriesOnlyWhenItIsSafe(
            RetrySafety safety, AttemptOutcome outcome, boolean retried) {
        Attempt<String> first = send(safety);
        assertEquals(mDispatcher.attemptEnded(first, outcome, mNow).isPresent(), retried);
    }

    @Test
    public void retriesOnAnotherInstance() {
        Attempt<String> first = send(RetrySafety.IDEMPOTENT);
        Attempt<String> second =
                mDispatcher.attemptEnded(first, AttemptOutcome.NO_RESPONSE, mNow).orElseThrow();
        assertNotEquals(second.target().server(), first.target().server());
    }

    @Test
    public void retriesUnsentRequestsOnTheSameInstanceIfThereIsNoOther() {
        List<Attempt<String>> others =
                IntStream.range(0, 6).mapToObj(i -> send(RetrySafety.NON_IDEMPOTENT)).toList();
        Attempt<String> first = send(RetrySafety.NON_IDEMPOTENT);
        Attempt<String> last = send(RetrySafety.NON_IDEMPOTENT);
        assertEquals(others.size(), 6);
        Attempt<String> again =
                mDispatcher.attemptEnded(first, AttemptOutcome.NOT_CONNECTED, mNow).orElseThrow();
        assertEquals(again.target(), first.target());
        assertFalse(mDispatcher.attemptEnded(last, AttemptOutcome.BUSY, mNow).isPresent());
    }

    /** Guards against retries that multiply the load while all instances fail. */
    @Test
    public void retriesStayWithinTheBudgetWhenAllAttemptsFail() {
        int attempts = 0;
        for (int i = 0; i < 1000; i++) {
            Optional<Attempt<String>> a = Optional.of(send(RetrySafety.IDEMPOTENT));
            while (a.isPresent()) {
                attempts++;
                a = mDispatcher.attemptEnded(a.get(), AttemptOutcome.NO_RESPONSE, mNow);
            }
        }
        assertTrue(attempts <= 1000 + 100 + 10, "attempts for 1000 requests: " + attempts);
    }

    @Test
    public void retriesNothingAfterTheDeadline() {
        Attempt<String> first = send(RetrySafety.IDEMPOTENT);
        mNow += DEADLINE;
        assertFalse(mDispatcher.attemptEnded(first, AttemptOutcome.NO_RESPONSE, mNow).isPresent());
    }

    @Test
    public void reservesTimeForARetryOnlyIfOneIsAllowed() {
        assertTrue(send(RetrySafety.IDEMPOTENT).timeout() < DEADLINE);
        assertEquals(send(RetrySafety.NON_IDEMPOTENT).timeout(), DEADLINE);
    }

    @Test
    public void queuesARequestUntilAnInstanceIsAvailable() {
        List<Attempt<String>> running =
                IntStream.range(0, 8).mapToObj(i -> send(RetrySafety.NON_IDEMPOTENT)).toList();
        mDispatcher.enqueue(request(RetrySafety.NON_IDEMPOTENT));
        assertFalse(mDispatcher.nextAttempt(mNow).isPresent());
        mDispatcher.attemptEnded(running.get(0), AttemptOutcome.SUCCESS, mNow + MS);
        assertTrue(mDispatcher.nextAttempt(mNow + MS).isPresent());
    }

    @Test
    public void rejectsRequestsThatWouldMissTheirDeadline() {
        for (int i = 0; i < 50; i++) {
            Attempt<String> a = send(RetrySafety.IDEMPOTENT);
            mNow += (i % 2 == 0 ? 10 : 30) * MS;
            mDispatcher.attemptEnded(a, AttemptOutcome.SUCCESS, mNow);
        }
        PendingRequest<String> urgent =
                PendingRequest.of(
                        new QueuedRequest<>("r", RequestClass.URGENT, "t", mNow + 25 * MS, 1),
                        RetrySafety.IDEMPOTENT);
        assertFalse(mDispatcher.checkAdmission(urgent, mNow).admitted());
        assertTrue(
                mDispatcher.checkAdmission(request(RetrySafety.NON_IDEMPOTENT), mNow).admitted());
    }

    /** Guards against rejecting all requests forever after a start slower than any deadline. */
    @Test
    public void admitsRequestsAgainAfterASlowStart() {
        Attempt<String> slow = send(RetrySafety.NON_IDEMPOTENT);
        mNow += 2 * DEADLINE;
        mDispatcher.attemptEnded(slow, AttemptOutcome.SUCCESS, mNow);
        assertFalse(
                mDispatcher.checkAdmission(request(RetrySafety.NON_IDEMPOTENT), mNow).admitted());

        mNow += 3 * DEADLINE;

        assertTrue(
                mDispatcher.checkAdmission(request(RetrySafety.NON_IDEMPOTENT), mNow).admitted());
    }

    private Attempt<String> send(RetrySafety safety) {
        mDispatcher.enqueue(request(safety));
        return mDispatcher.nextAttempt(mNow).orElseThrow();
    }

    private PendingRequest<String> request(RetrySafety safety) {
        return PendingRequest.of(
                new QueuedRequest<>("r", RequestClass.INTERACTIVE, "t", mNow + DEADLINE, 1),
                safety);
    }
}
