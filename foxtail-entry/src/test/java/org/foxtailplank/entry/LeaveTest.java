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

/** An entry that is stopped, seen from its callers and the balancer. */
public class LeaveTest {

    /**
     * An entry VM is replaced while a valuation is in flight. The balancer must learn it first, the
     * valuation must be answered, and only then may the entry end.
     */
    @Test
    public void answersWhatIsInFlightBeforeItEnds() throws Exception {
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
                                b.as("vm-1", TestSettings.SERVICE, TestSettings.NEAR))) {
            CompletableFuture<HttpResponse<String>> inFlight =
                    CompletableFuture.supplyAsync(() -> post(f));
            EntryFixture.await(() -> b.ran().size() == 1);
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
     * A caller has a kept connection and sends its next request just when the entry starts to
     * leave. If the entry closed idle connections at once, that request would be lost.
     */
    @Test
    public void answersARequestOnAKeptConnectionThatComesWhileItLeaves() throws Exception {
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f =
                        new EntryFixture(
                                TestSettings.standard(),
                                b.as("vm-1", TestSettings.SERVICE, TestSettings.NEAR));
                RawCaller kept = new RawCaller(f.uri("/"))) {
            kept.send(RawCaller.request("Content-Length: 0\r\n", ""));
            String head = kept.head();
            assertTrue(head.contains("Foxtail-Outcome: ok"), head);
            assertTrue(head.contains("Keep-Alive: timeout="), head);
            var left = f.entry().leave(Duration.ZERO).toCompletableFuture();
            EntryFixture.await(() -> !connects(f));
            kept.send(RawCaller.request("Content-Length: 0\r\n", ""));
            head = kept.head();
            assertTrue(head.contains("Foxtail-Outcome: ok"), head);
            assertTrue(head.contains("Connection: close"), head);
            assertTrue(kept.closed());
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
