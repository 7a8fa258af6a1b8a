package org.foxtailplank.internal.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.request.Outcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests coordinators of one or two entries over a stream controlled by the test. */
public class KeyCoordinatorTest {

    private ClaimsFixture mFixture;

    @BeforeMethod
    public void startTwoEntries() {
        mFixture = new ClaimsFixture(2);
        mFixture.catchUp();
    }

    @Test
    public void runsTheKeyAtTheEntryWhoseClaimIsFirst() {
        mFixture.submit(0, "k");
        mFixture.submit(1, "k");
        mFixture.flush(1);
        mFixture.flush(0);
        mFixture.readAll();
        assertEquals(mFixture.executions(), List.of("1:k"));
    }

    @Test
    public void returnsTheFirstAnswerAtEveryEntry() {
        mFixture.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        long again = mFixture.submit(1, "k");
        assertEquals(mFixture.replyTo(again).status(), 200);
        assertEquals(text(mFixture.replyTo(again)), "first");
        assertEquals(mFixture.executions().size(), 1);
    }

    @Test
    public void refusesKeyReusedForAnotherRequest() {
        mFixture.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        long here = mFixture.submit(0, "k", "other body");
        long there = mFixture.submit(1, "k", "other body");
        assertEquals(mFixture.replyTo(here).status(), 422);
        assertEquals(mFixture.replyTo(there).status(), 422);
        assertEquals(mFixture.replyTo(there).outcome(), Outcome.NOT_RUN);
    }

    @Test
    public void batchesTheKeysThatWaitIntoOneAppend() {
        for (int i = 0; i < 20; i++) {
            mFixture.submit(0, "k" + i);
        }
        assertEquals(mFixture.flush(0), 1);
        mFixture.readAll();
        assertEquals(mFixture.executions().size(), 20);
    }

    @Test
    public void onlyTheOwnerRetriesTheKeyThatDidNotRun() {
        mFixture.submitAndRun(0, "k", Refusal.FULL.answer());
        mFixture.submit(1, "k");
        mFixture.submit(0, "k");
        assertEquals(mFixture.executions(), List.of("0:k", "0:k"));
    }

    /**
     * After the answer of a backend server is lost, every entry must report unknown, since the
     * request may have run.
     */
    @Test
    public void neverRunsKeyAgainWhoseAnswerWasLost() {
        mFixture.submitAndRun(0, "k", Refusal.OWNER_GONE.answer());
        assertUnknownAtBothEntriesWithoutRunning();
    }

    @Test
    public void reportsUnknownAndNeverRunsAgainWhenTheAnswerWasEvicted() {
        for (int i = 0; i <= ClaimsFixture.MAX_ANSWERS; i++) {
            mFixture.submitAndRun(0, "k" + i, ClaimsFixture.ok("a" + i));
        }
        int before = mFixture.executions().size();
        long again = mFixture.submit(0, "k0");
        assertEquals(mFixture.replyTo(again).outcome(), Outcome.UNKNOWN);
        assertTrue(text(mFixture.replyTo(again)).contains("no longer remembered"));
        assertEquals(mFixture.executions().size(), before);
    }

    /**
     * The platform becomes unavailable while a key waits for its claim: the request is refused at
     * once, and the claim, which was stored, lets a later request run the key once.
     */
    @Test
    public void refusesAtOnceWhenThePlatformIsUnavailableAndRunsLater() {
        long first = mFixture.submit(0, "k");
        mFixture.flushAndLoseAnswer(0);
        mFixture.failRead(0);
        mFixture.failRead(0);
        assertEquals(mFixture.replyTo(first).outcome(), Outcome.NOT_RUN);
        assertTrue(mFixture.replyTo(first).retryAfter().isPresent());
        long next = mFixture.submit(0, "other");
        assertEquals(mFixture.replyTo(next).outcome(), Outcome.NOT_RUN);
        mFixture.catchUp();
        mFixture.submit(0, "k");
        assertEquals(mFixture.executions(), List.of("0:k"));
    }

    @Test
    public void findsLostAppendInTheStreamAndRunsItOnce() {
        mFixture.submit(0, "k");
        mFixture.flushAndLoseAnswer(0);
        mFixture.catchUp();
        mFixture.flush(0);
        mFixture.readAll();
        assertEquals(mFixture.executions(), List.of("0:k"));
    }

    /**
     * A read in flight when an append fails did not verify the last record. It must not be taken
     * for a loss of records, which would cause a quarantine of one window.
     */
    @Test
    public void readInFlightWhenCallFailsIsNoLossOfRecords() {
        mFixture.submit(0, "k");
        ClaimsPage inFlight = mFixture.page(0);
        mFixture.flushAndLoseAnswer(0);
        mFixture.coordinator(0).pageRead(inFlight, mFixture.now());
        mFixture.catchUp();
        assertEquals(mFixture.coordinator(0).claimRefusal(mFixture.now()), Optional.empty());
        assertEquals(mFixture.executions(), List.of("0:k"));
    }

    @Test
    public void claimsAgainWhenLostAppendNeverTookEffect() {
        mFixture.submit(0, "k");
        mFixture.flushAndLoseAppend(0);
        mFixture.catchUp();
        assertEquals(mFixture.executions(), List.of());
        mFixture.flush(0);
        mFixture.readAll();
        assertEquals(mFixture.executions(), List.of("0:k"));
    }

    /**
     * An entry paused until after the caller's deadline must not send the request when it resumes.
     */
    @Test
    public void doesNotRunRequestWhoseDeadlinePassedWhileItWasClaimed() {
        long token = mFixture.submit(0, "k");
        mFixture.flush(0);
        mFixture.advance(ClaimsFixture.REQUEST_TIMEOUT);
        mFixture.readAll();
        assertEquals(mFixture.executions(), List.of());
        assertEquals(mFixture.replyTo(token).outcome(), Outcome.NOT_RUN);
    }

    /**
     * A process that replaces the owner of a key does not know whether the key ran and must not run
     * it.
     */
    @Test
    public void replacementOfTheOwnerReportsUnknown() {
        mFixture.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        mFixture.replace(0);
        mFixture.catchUp();
        assertUnknownAtBothEntriesWithoutRunning();
    }

    @Test
    public void refusesUntilItHasReadTheStream() {
        mFixture.replace(1);
        long token = mFixture.submit(1, "k");
        assertEquals(mFixture.replyTo(token).outcome(), Outcome.NOT_RUN);
    }

    /**
     * After the stream was restored empty, a new entry sees no claim of a key that ran, and must
     * not run it again.
     */
    @Test
    public void streamRestoredEmptyRunsNoKeyTwice() {
        mFixture.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        mFixture.truncateFrom(1);
        mFixture.replace(1);
        mFixture.catchUp();
        assertEquals(mFixture.replyTo(mFixture.submit(1, "k")).outcome(), Outcome.NOT_RUN);
        assertEquals(text(mFixture.replyTo(mFixture.submit(0, "k"))), "first");
        mFixture.advance(ClaimsFixture.WINDOW.plusSeconds(1));
        mFixture.catchUp();
        mFixture.submit(1, "new");
        mFixture.flush(1);
        mFixture.readAll();
        assertEquals(mFixture.executions(), List.of("0:k", "1:new"));
    }

    /**
     * After the stream lost its last record, an entry that had not read it must detect the loss by
     * the position of a peer and must not run the key again.
     */
    @Test
    public void streamRestoredTruncatedRunsNoKeyTwice() {
        mFixture.submit(0, "k");
        mFixture.flush(0);
        mFixture.read(0);
        mFixture.truncateFrom(mFixture.endOffset() - 1);
        mFixture.failRead(1);
        mFixture.catchUp(1);
        assertEquals(mFixture.replyTo(mFixture.submit(1, "k")).outcome(), Outcome.NOT_RUN);
        assertEquals(mFixture.executions(), List.of("0:k"));
    }

    @Test
    public void newDeploymentClaimsAtOnceAndUnexpectedEmptyStreamIsQuarantined() {
        assertEquals(mFixture.coordinator(0).claimRefusal(mFixture.now()), Optional.empty());
        ClaimsFixture unexpected = new ClaimsFixture(1, false);
        unexpected.catchUp();
        Optional<Refusal> refusal = unexpected.coordinator(0).claimRefusal(unexpected.now());
        assertEquals(refusal, Optional.of(Refusal.QUARANTINED));
    }

    @Test
    public void issuedKeyRunsAtItsIssuerAloneWithoutTheLog() {
        mFixture.failRead(0);
        mFixture.failRead(0);
        mFixture.submitIssued(1, 0, "n1");
        mFixture.submitIssued(0, 0, "n1");
        assertEquals(mFixture.executions(), List.of("0:n1"));
    }

    @Test
    public void issuedKeyOfReplacedIssuerIsUnknown() {
        IssuedKey key = mFixture.issuedBy(0);
        mFixture.replace(0);
        long token = mFixture.submitIssued(1, key, "n1");
        assertEquals(mFixture.replyTo(token).outcome(), Outcome.UNKNOWN);
    }

    @Test
    public void issuedKeyIsNotRunAfterItHasExpired() {
        IssuedKey key = mFixture.issuedBy(0);
        mFixture.advance(ClaimsFixture.WINDOW);
        long token = mFixture.submitIssued(0, key, "n1");
        assertEquals(mFixture.replyTo(token).outcome(), Outcome.UNKNOWN);
        assertEquals(mFixture.executions(), List.of());
    }

    @Test
    public void protectsAnIssuedKeyForOneWindowAfterItsFirstUse() {
        IssuedKey key = mFixture.issuedBy(0);
        mFixture.advance(ClaimsFixture.WINDOW.minus(Duration.ofSeconds(1)));
        mFixture.submitIssued(0, key, "n1");
        mFixture.completeRun(0, "n1", ClaimsFixture.ok("first"));
        mFixture.advance(ClaimsFixture.WINDOW.minus(Duration.ofSeconds(1)));
        long again = mFixture.submitIssued(1, key, "n1");
        assertEquals(text(mFixture.replyTo(again)), "first");
        assertEquals(mFixture.executions().size(), 1);
    }

    @Test
    public void countsTheClaimsOfOthersTowardsItsKeyLimit() {
        Instant now = mFixture.now();
        for (int i = 0; i < ClaimsFixture.MAX_KEYS; i++) {
            mFixture.submit(0, "k" + i);
        }
        mFixture.flush(0);
        mFixture.readAll();
        assertEquals(mFixture.coordinator(1).claimRefusal(now), Optional.of(Refusal.FULL));
        assertEquals(mFixture.replyTo(mFixture.submit(1, "more")).outcome(), Outcome.NOT_RUN);
    }

    private void assertUnknownAtBothEntriesWithoutRunning() {
        long here = mFixture.submit(0, "k");
        long there = mFixture.submit(1, "k");
        assertEquals(mFixture.replyTo(here).outcome(), Outcome.UNKNOWN);
        assertEquals(mFixture.replyTo(there).outcome(), Outcome.UNKNOWN);
        assertEquals(mFixture.executions().size(), 1);
    }

    private static String text(KeyedAnswer answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }
}
