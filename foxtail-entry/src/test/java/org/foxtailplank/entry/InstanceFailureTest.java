package org.foxtailplank.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.request.Outcome;
import org.testng.annotations.Test;

/** Tests the answers to callers when backend servers fail, leave or send invalid answers. */
public class InstanceFailureTest {

    private static final String REPEATABLE_HEADER = "Foxtail-Repeatable";

    /**
     * A late answer must not be taken for the answer to the next request, which would give a caller
     * the answer of another request.
     */
    @Test
    public void neverMistakesALateAnswerForTheNextOne() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        RawBackend.Script script =
                (head, body, socket) -> {
                    if (body.equals("first")) {
                        await(late);
                    }
                    return RawBackend.write(socket, RawBackend.response(200, "", body));
                };
        try (RawBackend b = RawBackend.running(script);
                EntryFixture f = EntryFixture.connectedTo(b, near(b, "vm-1"))) {
            HttpResponse<String> first =
                    f.post("first", "Foxtail-Deadline", "300ms", REPEATABLE_HEADER, "no");
            assertEquals(EntryFixture.outcome(first), Outcome.UNKNOWN);
            assertEquals(first.statusCode(), 504);
            late.countDown();
            for (int i = 0; i < 10; i++) {
                assertEquals(f.post("next" + i).body(), "next" + i);
            }
        }
    }

    @Test
    public void reportsUnknownForAnAnswerDelimitedByClose() throws Exception {
        String open = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nperhaps half";
        try (RawBackend b = RawBackend.running((h, body, s) -> !RawBackend.write(s, open));
                EntryFixture f = EntryFixture.connectedTo(b, near(b, "vm-1"))) {
            assertEquals(
                    EntryFixture.outcome(f.post("x", REPEATABLE_HEADER, "no")), Outcome.UNKNOWN);
        }
    }

    @Test
    public void reportsUnknownForChunksWithoutLastChunk() throws Exception {
        String cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        try (RawBackend b = RawBackend.running((h, body, s) -> !RawBackend.write(s, cut));
                EntryFixture f = EntryFixture.connectedTo(b, near(b, "vm-1"))) {
            assertEquals(
                    EntryFixture.outcome(f.post("x", REPEATABLE_HEADER, "no")), Outcome.UNKNOWN);
        }
    }

    @Test
    public void forwardsNotRunOfABackendServer() throws Exception {
        String no = RawBackend.response(503, "Foxtail-Outcome: not-run\r\n", "busy");
        try (RawBackend b = RawBackend.running((h, body, s) -> RawBackend.write(s, no));
                EntryFixture f = EntryFixture.connectedTo(b, near(b, "vm-1"))) {
            HttpResponse<String> r = f.post("x", REPEATABLE_HEADER, "no");
            assertEquals(EntryFixture.outcome(r), Outcome.NOT_RUN);
            assertTrue(r.headers().firstValue("Retry-After").isPresent());
            assertEquals(b.receivedBodies().size(), 1, "sent once without a key");
        }
    }

    /** A 503 without a not-run outcome may have run, and must not be reported as not-run. */
    @Test
    public void reportsNoOtherErrorAsNotRun() throws Exception {
        String error = RawBackend.response(503, "", "half done");
        try (RawBackend b = RawBackend.running((h, body, s) -> RawBackend.write(s, error));
                EntryFixture f = EntryFixture.connectedTo(b, near(b, "vm-1"))) {
            HttpResponse<String> r = f.post("x", REPEATABLE_HEADER, "no");
            assertNotEquals(EntryFixture.outcome(r), Outcome.NOT_RUN);
            assertEquals(r.statusCode(), 503);
        }
    }

    /**
     * An instance may close an idle connection while a request is sent on it, which makes the
     * outcome unknown. Requests that must not be repeated therefore need a new connection.
     */
    @Test
    public void losesNoRequestToTheCloseOfAnIdleConnection() throws Exception {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        RawBackend.Script closing =
                (head, body, s) ->
                        used.add(s) && RawBackend.write(s, RawBackend.response(200, "", body));
        try (RawBackend b = RawBackend.running(closing);
                EntryFixture f = EntryFixture.connectedTo(b, near(b, "vm-1"))) {
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        EntryFixture.outcome(f.post("claim" + i, REPEATABLE_HEADER, "no")),
                        Outcome.OK);
            }
            assertEquals(b.receivedBodies().size(), 20);
        }
    }

    @Test
    public void retriesOnAnotherInstanceWhenConnectionIsRefused() throws Exception {
        RawBackend gone = RawBackend.echoing();
        BackendServer listed = near(gone, "vm-1");
        gone.close();
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f =
                        new EntryFixture(TestSettings.standard(), listed, near(b, "vm-2"))) {
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        EntryFixture.outcome(f.post("claim", REPEATABLE_HEADER, "no")), Outcome.OK);
            }
        }
    }

    /**
     * The entry must probe an instance even when all connections to it are busy, and stop sending
     * requests when it reports that it is leaving, although the platform still lists it.
     */
    @Test
    public void sendsNothingToALeavingInstanceUnderFullLoad() throws Exception {
        try (RawBackend leaving = RawBackend.echoing();
                RawBackend staying = RawBackend.echoing();
                EntryFixture f =
                        new EntryFixture(
                                TestSettings.standard(),
                                near(leaving, "vm-1"),
                                near(staying, "vm-2"))) {
            AtomicInteger stop = new AtomicInteger();
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                callers.add(
                        CompletableFuture.runAsync(
                                () -> postUntil(f, stop), r -> new Thread(r).start()));
            }
            EntryFixture.await(() -> leaving.receivedBodies().size() > 100);
            leaving.health("leaving");
            int[] seen = {-1};
            EntryFixture.await(
                    () -> {
                        int before = seen[0];
                        int others = staying.receivedBodies().size();
                        EntryFixture.await(() -> staying.receivedBodies().size() > others + 200);
                        seen[0] = leaving.receivedBodies().size();
                        return before == seen[0];
                    });
            stop.set(1);
            callers.forEach(CompletableFuture::join);
            assertEquals(leaving.receivedBodies().size(), seen[0]);
        }
    }

    @Test
    public void holdsNoMoreConnectionsThanItsShare() throws Exception {
        AtomicInteger peak = new AtomicInteger();
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f = EntryFixture.connectedTo(b, near(b, "vm-1"))) {
            b.script(
                    (head, body, s) -> {
                        peak.accumulateAndGet((int) b.openConnections(), Math::max);
                        return RawBackend.write(s, RawBackend.response(200, "", body));
                    });
            AtomicInteger stop = new AtomicInteger();
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                callers.add(
                        CompletableFuture.runAsync(
                                () -> postUntil(f, stop), r -> new Thread(r).start()));
            }
            EntryFixture.await(() -> b.receivedBodies().size() > 1000);
            stop.set(1);
            callers.forEach(CompletableFuture::join);
            assertTrue(peak.get() <= 6, "connections at once: " + peak);
        }
    }

    private static void postUntil(EntryFixture f, AtomicInteger stop) {
        try {
            while (stop.get() == 0) {
                assertFalse(f.post("q").body().isEmpty());
            }
        } catch (java.io.IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static BackendServer near(RawBackend b, String vm) {
        return b.asServer(vm, TestSettings.SERVICE, TestSettings.NEAR);
    }
}
