package org.foxtailplank.internal.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.testng.annotations.Test;

/** Tests of key ownership as derived from the claims stream. */
public class ClaimTableTest {

    private static final Duration WINDOW = Duration.ofMinutes(10);
    private static final Instant START = Instant.parse("2026-12-02T08:00:00Z");
    private static final Era ERA = new Era(7, 1);
    private static final Claimant ENTRY1 = new Claimant(NodeId.of("entry-1"), 11);
    private static final Claimant ENTRY2 = new Claimant(NodeId.of("entry-2"), 22);
    private static final RequestKey KEY =
            RequestKey.of(TeamId.of("adjusters"), ServiceId.of("valuation"), "claim-4711");
    private static final Fingerprint FINGERPRINT = new Fingerprint(Digest.ofTexts("body"));

    private final List<RequestKey> mExpired = new ArrayList<>();

    @Test
    public void firstClaimOfKeyOwnsIt() {
        ClaimTable table = openTable(START);
        table.apply(claim(ENTRY1, ERA, START), START);
        table.apply(claim(ENTRY2, ERA, START), START);
        assertEquals(ownerAt(table, START), Optional.of(ENTRY1));
    }

    @Test
    public void claimUnderAnotherEraIsVoid() {
        ClaimTable table = openTable(START);
        ClaimTable.ApplyResult result = table.apply(claim(ENTRY1, new Era(6, 1), START), START);
        assertEquals(result, ClaimTable.ApplyResult.OTHER_ERA);
        result = table.apply(claim(ENTRY1, new Era(7, 2), START), START);
        assertEquals(result, ClaimTable.ApplyResult.OTHER_ERA);
        assertEquals(ownerAt(table, START), Optional.empty());
    }

    @Test
    public void expiresKeyOneWindowAfterItsLastClaimAndNotifies() {
        ClaimTable table = openTable(START);
        table.apply(claim(ENTRY1, ERA, START), START);
        Instant later = START.plus(WINDOW.dividedBy(2));
        table.apply(claim(ENTRY2, ERA, later), later);
        Instant justBefore = later.plus(WINDOW).minusMillis(1);
        assertEquals(ownerAt(table, justBefore), Optional.of(ENTRY1));
        table.removeExpired(later.plus(WINDOW));
        assertEquals(table.size(), 0);
        assertEquals(mExpired, List.of(KEY));
    }

    /**
     * Two entries read the same claims at different times, before and after the window of an older
     * claim ends. They must not treat different claims as the first, or both would run the key.
     */
    @Test
    public void consecutiveClaimsAreNeverBothFirstWhereverTheWindowEnds() {
        Duration step = Duration.ofSeconds(30);
        for (Duration lag1 = Duration.ZERO; lag1.compareTo(WINDOW) < 0; lag1 = lag1.plus(step)) {
            Instant oldClaimAt = START;
            Instant claimedAt = START.plus(WINDOW).minusSeconds(15);
            ClaimTable earlyReader = openTable(START);
            ClaimTable lateReader = openTable(START);
            earlyReader.apply(claim(ENTRY2, ERA, oldClaimAt), oldClaimAt);
            lateReader.apply(claim(ENTRY2, ERA, oldClaimAt), oldClaimAt);
            earlyReader.apply(claim(ENTRY1, ERA, claimedAt), claimedAt);
            Instant readAt = claimedAt.plus(lag1);
            lateReader.apply(claim(ENTRY1, ERA, claimedAt), readAt);
            lateReader.apply(claim(ENTRY2, ERA, claimedAt), readAt);
            boolean firstRuns = ownerAt(earlyReader, claimedAt).equals(Optional.of(ENTRY1));
            boolean secondIsNew =
                    !lateReader.owner(KEY, readAt).orElseThrow().expiresAt().isAfter(readAt);
            assertFalse(firstRuns && secondIsNew, "lag " + lag1);
        }
    }

    @Test
    public void readerThatStartsSkipsClaimsOlderThanTwoWindowsOnly() {
        ClaimTable table = openTable(START);
        Instant now = START.plus(WINDOW.multipliedBy(2));
        table.apply(claim(ENTRY1, ERA, START.plusSeconds(1)), now);
        assertEquals(ownerAt(table, now), Optional.of(ENTRY1));
        ClaimTable other = openTable(START);
        other.apply(claim(ENTRY1, ERA, START), now);
        assertEquals(ownerAt(other, now), Optional.empty());
    }

    @Test
    public void eraOpenedAfterLossIsQuarantinedForOneWindow() {
        ClaimTable table = new ClaimTable(WINDOW, mExpired::add);
        table.apply(opening(ERA, ClaimBatch.Opening.AFTER_LOSS), START);
        assertTrue(table.isQuarantined(START.plus(WINDOW).minusMillis(1)));
        assertFalse(table.isQuarantined(START.plus(WINDOW)));
    }

    @Test
    public void onlyTheFirstOpeningOfNewDeploymentCounts() {
        ClaimTable table = openTable(START);
        table.apply(opening(new Era(8, 2), ClaimBatch.Opening.FIRST), START);
        assertEquals(table.era(), ERA);
        assertFalse(table.isQuarantined(START));
    }

    private ClaimTable openTable(Instant now) {
        ClaimTable table = new ClaimTable(WINDOW, mExpired::add);
        mExpired.clear();
        table.apply(opening(ERA, ClaimBatch.Opening.FIRST), now);
        return table;
    }

    private static ClaimBatch opening(Era era, ClaimBatch.Opening opening) {
        return new ClaimBatch(ENTRY1, era, opening, START, List.of());
    }

    private static ClaimBatch claim(Claimant writer, Era era, Instant time) {
        Claim claim = new Claim(KEY, FINGERPRINT);
        return new ClaimBatch(writer, era, ClaimBatch.Opening.NONE, time, List.of(claim));
    }

    private static Optional<Claimant> ownerAt(ClaimTable table, Instant now) {
        return table.owner(KEY, now).map(ClaimTable.Ownership::claimant);
    }
}
