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

/** One to three entries over a stream that a test controls. */
public class KeyCoordinatorTest {

    private ClaimsFixture mEntries;

    @BeforeMethod
    public void startTwoEntries() {
        mEntries = new ClaimsFixture(2);
        mEntries.catchUp();
    }

    @Test
    public void runsTheKeyAtTheEntryWhoseClaimIsFirst() {
        mEntries.submit(0, "k");
        mEntries.submit(1, "k");
        mEntries.flush(1);
        mEntries.flush(0);
        mEntries.readAll();
        assertEquals(mEntries.executions(), List.of("1:k"));
    }

    @Test
    public void givesTheFirstAnswerAgainToWhoeverAsksAnywhere() {
        mEntries.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        long again = mEntries.submit(1, "k");
        assertEquals(mEntries.replyTo(again).status(), 200);
        assertEquals(text(mEntries.replyTo(again)), "first");
        assertEquals(mEntries.executions().size(), 1);
    }

    @Test
    public void refusesKeyReusedForAnotherRequestAndSaysSo() {
        mEntries.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        long here = mEntries.submit(0, "k", "other body");
        long there = mEntries.submit(1, "k", "other body");
        assertEquals(mEntries.replyTo(here).status(), 422);
        assertEquals(mEntries.replyTo(there).status(), 422);
        assertEquals(mEntries.replyTo(there).outcome(), Outcome.NOT_RUN);
    }

    @Test
    public void batchesTheKeysThatWaitIntoOneAppend() {
        for (int i = 0; i < 20; i++) {
            mEntries.submit(0, "k" + i);
        }
        assertEquals(mEntries.flush(0), 1);
        mEntries.readAll();
        assertEquals(mEntries.executions().size(), 20);
    }

    @Test
    public void onlyTheOwnerRetriesTheKeyThatDidNotRun() {
        mEntries.submitAndRun(0, "k", Refusal.FULL.answer());
        mEntries.submit(1, "k");
        mEntries.submit(0, "k");
        assertEquals(mEntries.executions(), List.of("0:k", "0:k"));
    }

    /**
     * A backend server's answer is lost. The caller is told unknown, asks again at both entries and
     * must hear unknown each time, since the request may have run.
     */
    @Test
    public void neverRunsKeyAgainWhoseAnswerWasLost() {
        mEntries.submitAndRun(0, "k", Refusal.OWNER_GONE.answer());
        assertUnknownAtBothEntriesWithoutRunning();
    }

    @Test
    public void tellsUnknownAndNeverRunsAgainWhenTheAnswerWasEvicted() {
        for (int i = 0; i <= ClaimsFixture.MAX_ANSWERS; i++) {
            mEntries.submitAndRun(0, "k" + i, ClaimsFixture.ok("a" + i));
        }
        int before = mEntries.executions().size();
        long again = mEntries.submit(0, "k0");
        assertEquals(mEntries.replyTo(again).outcome(), Outcome.UNKNOWN);
        assertTrue(text(mEntries.replyTo(again)).contains("no longer remembered"));
        assertEquals(mEntries.executions().size(), before);
    }

    /**
     * The platform stops answering while a key waits for its claim. The caller hears at once that
     * it was not run and when to come back; the claim that took effect after all is found later and
     * the key is then run for the next request, once.
     */
    @Test
    public void refusesAtOnceWhenThePlatformIsAwayAndRunsLater() {
        long first = mEntries.submit(0, "k");
        mEntries.flushAndLoseAnswer(0);
        mEntries.readFails(0);
        mEntries.readFails(0);
        assertEquals(mEntries.replyTo(first).outcome(), Outcome.NOT_RUN);
        assertTrue(mEntries.replyTo(first).retryAfter().isPresent());
        long next = mEntries.submit(0, "other");
        assertEquals(mEntries.replyTo(next).outcome(), Outcome.NOT_RUN);
        mEntries.catchUp();
        mEntries.submit(0, "k");
        assertEquals(mEntries.executions(), List.of("0:k"));
    }

    @Test
    public void findsLostAppendInTheStreamAndRunsItOnce() {
        mEntries.submit(0, "k");
        mEntries.flushAndLoseAnswer(0);
        mEntries.catchUp();
        mEntries.flush(0);
        mEntries.readAll();
        assertEquals(mEntries.executions(), List.of("0:k"));
    }

    /**
     * The answer of an append is lost while a read is under way. That read did not compare the last
     * record with the stream, and must not be taken for a stream that lost it: new keys would be
     * refused for a whole window.
     */
    @Test
    public void readUnderWayWhenCallFailsIsNoLossOfRecords() {
        mEntries.submit(0, "k");
        ClaimsPage underWay = mEntries.page(0);
        mEntries.flushAndLoseAnswer(0);
        mEntries.core(0).read(underWay, mEntries.now());
        mEntries.catchUp();
        assertEquals(mEntries.core(0).notReady(mEntries.now()), Optional.empty());
        assertEquals(mEntries.executions(), List.of("0:k"));
    }

    @Test
    public void claimsAgainWhenLostAppendNeverTookEffect() {
        mEntries.submit(0, "k");
        mEntries.flushIntoNowhere(0);
        mEntries.catchUp();
        assertEquals(mEntries.executions(), List.of());
        mEntries.flush(0);
        mEntries.readAll();
        assertEquals(mEntries.executions(), List.of("0:k"));
    }

    /**
     * An entry is paused after its claim took effect, until its caller has given up. When it goes
     * on it must not send the request: nobody waits for the answer.
     */
    @Test
    public void doesNotRunRequestWhoseDeadlinePassedWhileItWasClaimed() {
        long token = mEntries.submit(0, "k");
        mEntries.flush(0);
        mEntries.pass(ClaimsFixture.PATIENCE);
        mEntries.readAll();
        assertEquals(mEntries.executions(), List.of());
        assertEquals(mEntries.replyTo(token).outcome(), Outcome.NOT_RUN);
    }

    /**
     * An entry is replaced under the same name after it claimed a key. Whether it ran is not known,
     * and the replacement must not run it.
     */
    @Test
    public void replacementOfTheOwnerTellsUnknown() {
        mEntries.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        mEntries.replace(0);
        mEntries.catchUp();
        assertUnknownAtBothEntriesWithoutRunning();
    }

    @Test
    public void refusesUntilItHasReadTheStream() {
        mEntries.replace(1);
        long token = mEntries.submit(1, "k");
        assertEquals(mEntries.replyTo(token).outcome(), Outcome.NOT_RUN);
    }

    /**
     * The platform comes back with an empty claims stream after a key was run. A fresh entry sees
     * no claim of the key; running it again would double a warranty claim.
     */
    @Test
    public void streamThatComesBackEmptyRunsNoKeyTwice() {
        mEntries.submitAndRun(0, "k", ClaimsFixture.ok("first"));
        mEntries.loseRecordsFrom(1);
        mEntries.replace(1);
        mEntries.catchUp();
        assertEquals(mEntries.replyTo(mEntries.submit(1, "k")).outcome(), Outcome.NOT_RUN);
        assertEquals(text(mEntries.replyTo(mEntries.submit(0, "k"))), "first");
        mEntries.pass(ClaimsFixture.WINDOW.plusSeconds(1));
        mEntries.catchUp();
        mEntries.submit(1, "new");
        mEntries.flush(1);
        mEntries.readAll();
        assertEquals(mEntries.executions(), List.of("0:k", "1:new"));
    }

    /**
     * The stream comes back without its last record, and an entry that never read that record takes
     * the key again. Only the peer that ran it knows; its position gives the loss away.
     */
    @Test
    public void streamThatComesBackShortenedRunsNoKeyTwice() {
        mEntries.submit(0, "k");
        mEntries.flush(0);
        mEntries.read(0);
        mEntries.loseRecordsFrom(mEntries.end() - 1);
        mEntries.readFails(1);
        mEntries.catchUp(1);
        assertEquals(mEntries.replyTo(mEntries.submit(1, "k")).outcome(), Outcome.NOT_RUN);
        assertEquals(mEntries.executions(), List.of("0:k"));
    }

    @Test
    public void newDeploymentClaimsAtOnceAndStrangeEmptyStreamWaits() {
        assertEquals(mEntries.core(0).notReady(mEntries.now()), Optional.empty());
        ClaimsFixture strange = new ClaimsFixture(1, false);
        strange.catchUp();
        Optional<Refusal> refusal = strange.core(0).notReady(strange.now());
        assertEquals(refusal, Optional.of(Refusal.QUARANTINED));
    }

    @Test
    public void issuedKeyRunsAtItsIssuerAloneWithoutTheLog() {
        mEntries.readFails(0);
        mEntries.readFails(0);
        mEntries.submitIssued(1, 0, "n1");
        mEntries.submitIssued(0, 0, "n1");
        assertEquals(mEntries.executions(), List.of("0:n1"));
    }

    @Test
    public void issuedKeyOfAnIssuerThatIsGoneIsUnknown() {
        IssuedKey key = mEntries.issuedBy(0);
        mEntries.replace(0);
        long token = mEntries.submitIssued(1, key, "n1");
        assertEquals(mEntries.replyTo(token).outcome(), Outcome.UNKNOWN);
    }

    @Test
    public void issuedKeyIsNotRunAfterItHasExpired() {
        IssuedKey key = mEntries.issuedBy(0);
        mEntries.pass(ClaimsFixture.WINDOW);
        long token = mEntries.submitIssued(0, key, "n1");
        assertEquals(mEntries.replyTo(token).outcome(), Outcome.UNKNOWN);
        assertEquals(mEntries.executions(), List.of());
    }

    @Test
    public void protectsAnIssuedKeyForOneWindowAfterItsFirstUse() {
        IssuedKey key = mEntries.issuedBy(0);
        mEntries.pass(ClaimsFixture.WINDOW.minus(Duration.ofSeconds(1)));
        mEntries.submitIssued(0, key, "n1");
        mEntries.finish(0, "n1", ClaimsFixture.ok("first"));
        mEntries.pass(ClaimsFixture.WINDOW.minus(Duration.ofSeconds(1)));
        long again = mEntries.submitIssued(1, key, "n1");
        assertEquals(text(mEntries.replyTo(again)), "first");
        assertEquals(mEntries.executions().size(), 1);
    }

    @Test
    public void takesTheClaimsOfOthersAsProtectedUpToItsBound() {
        Instant now = mEntries.now();
        for (int i = 0; i < ClaimsFixture.MAX_KEYS; i++) {
            mEntries.submit(0, "k" + i);
        }
        mEntries.flush(0);
        mEntries.readAll();
        assertEquals(mEntries.core(1).notReady(now), Optional.of(Refusal.FULL));
        assertEquals(mEntries.replyTo(mEntries.submit(1, "more")).outcome(), Outcome.NOT_RUN);
    }

    private void assertUnknownAtBothEntriesWithoutRunning() {
        long here = mEntries.submit(0, "k");
        long there = mEntries.submit(1, "k");
        assertEquals(mEntries.replyTo(here).outcome(), Outcome.UNKNOWN);
        assertEquals(mEntries.replyTo(there).outcome(), Outcome.UNKNOWN);
        assertEquals(mEntries.executions().size(), 1);
    }

    private static String text(KeyedAnswer answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }
}
