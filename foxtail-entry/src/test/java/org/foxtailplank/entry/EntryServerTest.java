package org.foxtailplank.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import org.foxtailplank.request.Outcome;
import org.testng.annotations.Test;

/** Tests the processing of requests by an entry, over real sockets. */
public class EntryServerTest {

    @Test
    public void forwardsTheAnswerOfABackendServer() throws Exception {
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f = EntryFixture.connectedTo(b, near(b))) {
            HttpResponse<String> r = f.post("crack 3 mm", "Foxtail-Team", "desk");
            assertEquals(r.statusCode(), 200);
            assertEquals(r.body(), "crack 3 mm");
            assertEquals(EntryFixture.outcome(r), Outcome.OK);
            assertTrue(r.headers().firstValue("Foxtail-Request-Id").isPresent());
        }
    }

    @Test
    public void refusesAsNotRunWhenNoBackendServerIsListed() throws Exception {
        try (EntryFixture f = new EntryFixture(TestSettings.standard())) {
            HttpResponse<String> r = f.post("x");
            assertEquals(r.statusCode(), 503);
            assertEquals(EntryFixture.outcome(r), Outcome.NOT_RUN);
            assertTrue(r.headers().firstValue("Retry-After").isPresent());
        }
    }

    /** An answer shorter than its content length must not be forwarded. */
    @Test
    public void neverForwardsATruncatedAnswer() throws Exception {
        String cut = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
        try (RawBackend b = RawBackend.running((h, body, s) -> !RawBackend.write(s, cut));
                EntryFixture f = EntryFixture.connectedTo(b, near(b))) {
            HttpResponse<String> r = f.post("x", "Foxtail-Repeatable", "no");
            assertEquals(EntryFixture.outcome(r), Outcome.UNKNOWN);
            assertFalse(r.body().contains("half"));
        }
    }

    /**
     * A request that is not repeatable must not be sent to another instance after the first one
     * closed the connection without an answer.
     */
    @Test
    public void neverRetriesARequestThatIsNotRepeatable() throws Exception {
        try (RawBackend failing = RawBackend.running((h, body, s) -> false);
                RawBackend other = RawBackend.running((h, body, s) -> false);
                EntryFixture f =
                        new EntryFixture(
                                TestSettings.standard(),
                                near(failing),
                                other.asServer("vm-2", TestSettings.SERVICE, TestSettings.NEAR))) {
            HttpResponse<String> r = f.post("claim", "Foxtail-Repeatable", "no");
            assertEquals(EntryFixture.outcome(r), Outcome.UNKNOWN);
            assertEquals(failing.receivedBodies().size() + other.receivedBodies().size(), 1);
        }
    }

    @Test
    public void retriesARepeatableRequestOnAnotherInstance() throws Exception {
        try (RawBackend failing = RawBackend.running((h, body, s) -> false);
                RawBackend good = RawBackend.echoing();
                EntryFixture f = new EntryFixture(TestSettings.standard(), near(failing))) {
            EntryFixture.await(() -> failing.acceptedConnections() > 0);
            f.setLiveServers(
                    near(failing), good.asServer("vm-2", TestSettings.SERVICE, TestSettings.NEAR));
            EntryFixture.await(() -> good.acceptedConnections() > 0);
            for (int i = 0; i < 20; i++) {
                assertEquals(EntryFixture.outcome(f.post("q" + i)), Outcome.OK);
            }
        }
    }

    @Test
    public void refusesKeysWhenTheyCannotBeProtected() throws Exception {
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f = EntryFixture.connectedTo(b, near(b))) {
            HttpResponse<String> r = f.post("x", "Idempotency-Key", "k1");
            assertEquals(EntryFixture.outcome(r), Outcome.NOT_RUN);
            assertEquals(b.receivedBodies(), List.of());
        }
    }

    private static org.foxtailplank.request.BackendServer near(RawBackend b) throws IOException {
        return b.asServer("vm-1", TestSettings.SERVICE, TestSettings.NEAR);
    }
}
