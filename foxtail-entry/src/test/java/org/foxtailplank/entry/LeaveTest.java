package org.foxtailplank.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.foxtailplank.request.Outcome;
import org.testng.annotations.Test;

/** Tests the graceful shutdown of an entry, as seen by callers and the load balancer. */
public class LeaveTest {

    /**
     * Health checks must fail first, requests in flight must be answered, and only then may the
     * entry stop.
     */
    @Test
    public void answersInFlightRequestsBeforeStopping() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        RawBackend.Script slow =
                (head, body, socket) -> {
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                    return RawBackend.write(socket, RawBackend.response(200, "", body));
                };
        try (RawBackend b = RawBackend.running(slow);
                EntryFixture f =
                        new EntryFixture(
                                TestSettings.standard(),
                                b.asServer("vm-1", TestSettings.SERVICE, TestSettings.NEAR))) {
            CompletableFuture<HttpResponse<String>> inFlight =
                    CompletableFuture.supplyAsync(() -> post(f));
            EntryFixture.await(() -> b.receivedBodies().size() == 1);
            assertEquals(f.get("/health").statusCode(), 200);
            var left = f.entry().leave(Duration.ofMillis(500)).toCompletableFuture();
            assertEquals(f.get("/health").statusCode(), 503);
            assertFalse(left.isDone());
            release.countDown();
            HttpResponse<String> answer = inFlight.join();
            assertEquals(answer.body(), "valuation");
            assertEquals(answer.headers().firstValue("Connection").orElse(""), "close");
            left.join();
        }
    }

    /**
     * A request sent on an idle connection just as the entry starts to leave must be answered, so
     * idle connections must not be closed at once.
     */
    @Test
    public void answersARequestOnAnIdleConnectionWhileLeaving() throws Exception {
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f =
                        new EntryFixture(
                                TestSettings.standard(),
                                b.asServer("vm-1", TestSettings.SERVICE, TestSettings.NEAR));
                RawCaller caller = new RawCaller(f.uri("/"))) {
            caller.send(RawCaller.request("Content-Length: 0\r\n", ""));
            String head = caller.head();
            assertTrue(head.contains("Foxtail-Outcome: ok"), head);
            assertTrue(head.contains("Keep-Alive: timeout="), head);
            var left = f.entry().leave(Duration.ZERO).toCompletableFuture();
            EntryFixture.await(() -> !connects(f));
            caller.send(RawCaller.request("Content-Length: 0\r\n", ""));
            head = caller.head();
            assertTrue(head.contains("Foxtail-Outcome: ok"), head);
            assertTrue(head.contains("Connection: close"), head);
            assertTrue(caller.closed());
            left.join();
        }
    }

    private static boolean connects(EntryFixture f) {
        try (RawCaller c = new RawCaller(f.uri("/"))) {
            return true;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    private static HttpResponse<String> post(EntryFixture f) {
        try {
            HttpResponse<String> r = f.post("valuation", "Foxtail-Repeatable", "no");
            assertEquals(EntryFixture.outcome(r), Outcome.OK);
            return r;
        } catch (java.io.IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
