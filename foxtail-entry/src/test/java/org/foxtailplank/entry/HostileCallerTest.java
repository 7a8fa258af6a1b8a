package org.foxtailplank.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.settings.LimitSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Invalid and abusive requests must be refused without affecting the entry's service. */
public class HostileCallerTest {

    private static final int CONNECTIONS_PER_CALLER = 4;
    private static final int MAX_BODY = 1000;

    private RawBackend mBackend;
    private EntryFixture mFixture;

    @BeforeClass
    public void start() throws Exception {
        mBackend = RawBackend.echoing();
        mFixture =
                new EntryFixture(
                        TestSettings.with(
                                new LimitSettings(
                                        2000,
                                        MAX_BODY,
                                        CONNECTIONS_PER_CALLER,
                                        0.1,
                                        Duration.ofHours(1))),
                        mBackend.asServer("vm-1", TestSettings.SERVICE, TestSettings.NEAR));
        EntryFixture.await(() -> mBackend.acceptedConnections() > 0);
    }

    @AfterClass
    public void stop() {
        mFixture.close();
        mBackend.close();
    }

    /** Invalid requests with the expected status or its first digits. */
    @DataProvider
    public Object[][] hostileRequests() {
        String big = "x".repeat(MAX_BODY + 1);
        String chunked = "Transfer-Encoding: chunked\r\n";
        return new Object[][] {
            {"two lengths", "Content-Length: 4\r\nContent-Length: 9\r\n", "evilrest", "400"},
            {"a length and chunks", "Content-Length: 4\r\n" + chunked, "0\r\n\r\nGET /", "400"},
            {"a negative length", "Content-Length: -4\r\n", "evil", "400"},
            {"a length in words", "Content-Length: four\r\n", "evil", "400"},
            {"an unknown coding", "Transfer-Encoding: xchunked\r\n", "evil", "40"},
            {"a large body", "Content-Length: " + big.length() + "\r\n", big, "413"},
            {"large chunks", chunked, "3e9\r\n" + big + "\r\n0\r\n\r\n", "413"},
            {"a broken chunk", chunked, "zz\r\nevil\r\n0\r\n\r\n", "40"},
            {"a large header", "X-A: " + "a".repeat(3000) + "\r\n", "", "43"},
            {"many headers", "X-A: aaaaaaaaaaaa\r\n".repeat(65), "", "4"},
            {"headers large together", ("X-A: " + "a".repeat(200) + "\r\n").repeat(12), "", "431"},
            {"two keys", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "", "400"},
            {"two classes", "Foxtail-Class: urgent\r\nFoxtail-Class: batch\r\n", "", "400"},
            {"an unknown class", "Foxtail-Class: vip\r\n", "", "400"},
            {"a deadline of no time", "Foxtail-Deadline: 0ms\r\n", "", "400"},
            {"an unknown team", "Foxtail-Team: nobody\r\n", "", "403"},
        };
    }

    @Test(dataProvider = "hostileRequests")
    public void refusesWithoutRunningAnything(
            String description, String headers, String body, String status) throws Exception {
        int before = mBackend.receivedBodies().size();
        try (RawCaller c = new RawCaller(mFixture.uri("/"))) {
            c.send(RawCaller.request(headers, body));
            String head = c.head();
            assertTrue(head.startsWith("HTTP/1.1 " + status), description + " got: " + head);
            assertTrue(head.contains("Foxtail-Outcome: not-run"), description + " got: " + head);
        }
        assertEquals(mBackend.receivedBodies().size(), before, description);
        assertStillServing();
    }

    /**
     * Connections beyond the limit per caller are closed at once, so that one caller can't exhaust
     * them for others.
     */
    @Test
    public void closesConnectionsBeyondTheLimitOfACaller() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS_PER_CALLER; i++) {
            callers.add(new RawCaller(mFixture.uri("/")));
        }
        try (RawCaller beyond = new RawCaller(mFixture.uri("/"))) {
            assertTrue(beyond.closed());
        }
        for (RawCaller c : callers) {
            c.close();
        }
        assertStillServing();
    }

    /**
     * A caller that does not complete its request head must not hold a connection beyond the idle
     * timeout.
     */
    @Test
    public void closesConnectionOfSlowHeaderSender() throws Exception {
        try (RawCaller c = new RawCaller(mFixture.uri("/"))) {
            c.send("POST /s/claims/assess HT");
            assertTrue(c.closed());
        }
        assertStillServing();
    }

    @Test
    public void answersASlowSenderOfTheBodyAtItsDeadline() throws Exception {
        try (RawCaller c = new RawCaller(mFixture.uri("/"))) {
            c.send(RawCaller.request("Foxtail-Deadline: 200ms\r\nContent-Length: 100\r\n", "slow"));
            String head = c.head();
            assertTrue(head.startsWith("HTTP/1.1 408"), head);
            assertTrue(head.contains("Foxtail-Outcome: not-run"), head);
        }
        assertFalse(mBackend.receivedBodies().contains("slow"));
        assertStillServing();
    }

    /** Asserts that the entry still answers valid requests. */
    private void assertStillServing() throws Exception {
        EntryFixture.await(
                () -> {
                    try {
                        return EntryFixture.outcome(mFixture.post("fine")) == Outcome.OK;
                    } catch (java.io.IOException e) {
                        // Connections are refused until the entry has noticed the closed ones.
                        return false;
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
