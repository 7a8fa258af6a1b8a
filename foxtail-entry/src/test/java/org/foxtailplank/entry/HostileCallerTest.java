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

/** Callers that send what they must not: each is answered or cut, and the entry goes on. */
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
                        mBackend.as("vm-1", TestSettings.SERVICE, TestSettings.NEAR));
        EntryFixture.await(() -> mBackend.accepted() > 0);
    }

    @AfterClass
    public void stop() {
        mFixture.close();
        mBackend.close();
    }

    /** Each text with the status of the answer; none where the connection is just cut. */
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
            String what, String headers, String body, String status) throws Exception {
        int before = mBackend.ran().size();
        try (RawCaller c = new RawCaller(mFixture.uri("/"))) {
            c.send(RawCaller.request(headers, body));
            String head = c.head();
            assertTrue(head.startsWith("HTTP/1.1 " + status), what + " got: " + head);
            assertTrue(head.contains("Foxtail-Outcome: not-run"), what + " got: " + head);
        }
        assertEquals(mBackend.ran().size(), before, what);
        goesOn();
    }

    /**
     * A caller opens connections without end and sends nothing. Others must still get theirs, so
     * what is beyond its share is closed at once.
     */
    @Test
    public void closesConnectionsBeyondACallersShare() throws Exception {
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
        goesOn();
    }

    /**
     * A caller sends its head byte by byte, or its body hardly at all, to hold a connection for
     * ever. It is cut after the time in which a kept connection must bring a request.
     */
    @Test
    public void cutsASlowSenderOfHeaders() throws Exception {
        try (RawCaller c = new RawCaller(mFixture.uri("/"))) {
            c.send("POST /s/claims/assess HT");
            assertTrue(c.closed());
        }
        goesOn();
    }

    @Test
    public void answersASlowSenderOfTheBodyAtItsDeadline() throws Exception {
        try (RawCaller c = new RawCaller(mFixture.uri("/"))) {
            c.send(RawCaller.request("Foxtail-Deadline: 200ms\r\nContent-Length: 100\r\n", "slow"));
            String head = c.head();
            assertTrue(head.startsWith("HTTP/1.1 408"), head);
            assertTrue(head.contains("Foxtail-Outcome: not-run"), head);
        }
        assertFalse(mBackend.ran().contains("slow"));
        goesOn();
    }

    /** The entry still answers whoever behaves. */
    private void goesOn() throws Exception {
        EntryFixture.await(
                () -> {
                    try {
                        return EntryFixture.outcome(mFixture.post("fine")) == Outcome.OK;
                    } catch (java.io.IOException e) {
                        // The caller's share is free again once the entry has seen the closes.
                        return false;
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
