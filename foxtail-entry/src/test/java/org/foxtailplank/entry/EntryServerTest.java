package org.foxtailplank.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import org.foxtailplank.request.Outcome;
import org.testng.annotations.Test;

/** The path of one request through a real entry and real sockets. */
public class EntryServerTest {

    @Test
    public void passesOnTheWholeAnswerOfABackendServer() throws Exception {
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f = EntryFixture.probing(b, near(b))) {
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

    /**
     * A surveyor's verdict must not be half a verdict. The backend server promises 100 bytes, sends
     * 4 and closes. The entry must not pass the 4 bytes on as an answer.
     */
    @Test
    public void neverPassesOnAnAnswerThatWasCutShort() throws Exception {
        String cut = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
        try (RawBackend b = RawBackend.running((h, body, s) -> !RawBackend.write(s, cut));
                EntryFixture f = EntryFixture.probing(b, near(b))) {
            HttpResponse<String> r = f.post("x", "Foxtail-Repeatable", "no");
            assertEquals(EntryFixture.outcome(r), Outcome.UNKNOWN);
            assertFalse(r.body().contains("half"));
        }
    }

    /**
     * A warranty claim is paid once. The backend server takes the claim and dies before it answers;
     * the other instance is healthy. The claim must not be sent there as well.
     */
    @Test
    public void neverSendsARequestTwiceThatMustNotBeRepeated() throws Exception {
        try (RawBackend dying = RawBackend.running((h, body, s) -> false);
                RawBackend other = RawBackend.running((h, body, s) -> false);
                EntryFixture f =
                        new EntryFixture(
                                TestSettings.standard(),
                                near(dying),
                                other.as("vm-2", TestSettings.SERVICE, TestSettings.NEAR))) {
            HttpResponse<String> r = f.post("claim", "Foxtail-Repeatable", "no");
            assertEquals(EntryFixture.outcome(r), Outcome.UNKNOWN);
            assertEquals(dying.ran().size() + other.ran().size(), 1);
        }
    }

    @Test
    public void retriesARepeatableRequestOnAnotherInstance() throws Exception {
        try (RawBackend dying = RawBackend.running((h, body, s) -> false);
                RawBackend good = RawBackend.echoing();
                EntryFixture f = new EntryFixture(TestSettings.standard(), near(dying))) {
            EntryFixture.await(() -> dying.accepted() > 0);
            f.live(near(dying), good.as("vm-2", TestSettings.SERVICE, TestSettings.NEAR));
            EntryFixture.await(() -> good.accepted() > 0);
            for (int i = 0; i < 20; i++) {
                assertEquals(EntryFixture.outcome(f.post("q" + i)), Outcome.OK);
            }
        }
    }

    @Test
    public void refusesAKeyThatNobodyHereCanProtect() throws Exception {
        try (RawBackend b = RawBackend.echoing();
                EntryFixture f = EntryFixture.probing(b, near(b))) {
            HttpResponse<String> r = f.post("x", "Idempotency-Key", "k1");
            assertEquals(EntryFixture.outcome(r), Outcome.NOT_RUN);
            assertEquals(b.ran(), List.of());
        }
    }

    private static org.foxtailplank.request.BackendServer near(RawBackend b) throws IOException {
        return b.as("vm-1", TestSettings.SERVICE, TestSettings.NEAR);
    }
}
