package org.foxtailplank.admission;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a job, sent to two nodes, that one of them refuses and the other one stores. */
public class RefusalRegisterTest {
    private static final long PROTECTION_MS = RefusalRegister.STORE_PROTECTION_MS;
    private static final long KEEP_MS = 900;
    private static final long SAMPLE_MS = 200;

    private RefusalRegister mRegister;
    private long mNowMs;

    @BeforeMethod
    public void takeOver() {
        mRegister = new RefusalRegister();
        mNowMs = 0;
        mRegister.recordHealth(true, mNowMs);
        advance(PROTECTION_MS);
    }

    /** Advances the time of a healthy owner. */
    private void advance(long ms) {
        long endMs = mNowMs + ms;
        while (mNowMs < endMs) {
            mNowMs = Math.min(endMs, mNowMs + SAMPLE_MS);
            mRegister.recordHealth(true, mNowMs);
        }
    }

    private boolean tryRefuse(String job) {
        return mRegister.tryRefuse(job, KEEP_MS, mNowMs);
    }

    private boolean tryStore(String job) {
        return mRegister.tryStore(job, mNowMs);
    }

    @Test
    public void aJobThatIsBeingStoredIsNotRefused() {
        tryStore("a");
        advance(100);

        assertFalse(tryRefuse("a"));
        assertTrue(tryRefuse("b"));
    }

    @Test
    public void aJobIsNotRefusedBeforeTheOutcomeOfItsHandoverIsKnown() {
        // Guards against records that wait at the owner while the store fails.
        tryStore("a");
        advance(10 * PROTECTION_MS);
        assertFalse(tryRefuse("a"));

        mRegister.outcomeKnown("a", mNowMs);
        advance(PROTECTION_MS - 1);
        assertFalse(tryRefuse("a"));
        advance(1);
        assertTrue(tryRefuse("a"));
    }

    @Test
    public void anUnknownOutcomeProtectsAJobForLonger() {
        tryStore("a");
        mRegister.outcomeUnknown("a", mNowMs);
        advance(9_999);
        assertFalse(tryRefuse("a"));

        advance(1);
        assertTrue(tryRefuse("a"));
    }

    @Test
    public void aJobThatTwoNodesHandOverIsProtectedUntilBothOutcomes() {
        tryStore("a");
        tryStore("a");
        mRegister.outcomeKnown("a", mNowMs);
        advance(2 * PROTECTION_MS);

        assertFalse(tryRefuse("a"));
    }

    @Test
    public void aRefusedJobIsNotStored() {
        tryRefuse("a");
        advance(100);

        assertFalse(tryStore("a"));
        assertTrue(tryStore("b"));
    }

    @Test
    public void aRefusalLastsAsLongAsItsCallerIsToldToWaitUpToALimit() {
        mRegister.tryRefuse("short", KEEP_MS, mNowMs);
        mRegister.tryRefuse("long", 60_000, mNowMs);
        advance(KEEP_MS - 1);
        assertFalse(tryStore("short"));
        advance(1);
        assertTrue(tryStore("short"));

        advance(RefusalRegister.MAX_REFUSAL_MS - KEEP_MS - 1);
        assertFalse(tryStore("long"));
        advance(1);
        assertTrue(tryStore("long"));
    }

    @Test
    public void aRefusalThatOutlastsLaterOnesDoesNotExtendThem() {
        mRegister.tryRefuse("long", 60_000, mNowMs);
        mRegister.tryRefuse("short", KEEP_MS, mNowMs);
        advance(KEEP_MS);

        assertTrue(tryStore("short"));
    }

    @Test
    public void nothingIsRefusedAfterATakeoverUntilNodesHaveStoredWhatTheyHandedOver() {
        mRegister = new RefusalRegister();
        mRegister.recordHealth(false, mNowMs);
        mRegister.recordHealth(true, mNowMs);
        advance(PROTECTION_MS - 1);
        assertFalse(tryRefuse("a"));
        assertTrue(tryStore("a"));

        advance(1);
        assertTrue(tryRefuse("b"));
    }

    @Test
    public void nothingIsRefusedAfterAnInterruptionOfTheOwnersHealth() {
        // Nodes that don't reach a store or an owner append by themselves.
        mRegister.recordHealth(false, mNowMs);
        advance(100);
        assertFalse(tryRefuse("a"));

        advance(PROTECTION_MS);
        assertTrue(tryRefuse("a"));
    }

    @Test
    public void anOwnerThatWasStoppedForAWhileDoesNotRefuse() {
        mNowMs += HealthyPeriod.MAX_GAP_MS + 1;
        assertFalse(tryRefuse("a"), "its health is unknown");

        mRegister.recordHealth(true, mNowMs);
        assertFalse(tryRefuse("a"));
        advance(PROTECTION_MS);
        assertTrue(tryRefuse("a"));
    }

    @Test
    public void nothingIsRefusedWhileAHandoverHasNoEntry() {
        for (int i = 0; i <= RefusalRegister.MAX_ENTRIES; i++) {
            tryStore("job" + i);
        }
        for (int i = 0; i < RefusalRegister.MAX_ENTRIES; i++) {
            mRegister.outcomeKnown("job" + i, mNowMs);
        }
        advance(2 * PROTECTION_MS);
        assertFalse(tryRefuse("job" + RefusalRegister.MAX_ENTRIES));

        mRegister.outcomeKnown("job" + RefusalRegister.MAX_ENTRIES, mNowMs);
        advance(PROTECTION_MS - 1);
        assertFalse(tryRefuse("job" + RefusalRegister.MAX_ENTRIES));
        advance(1);
        assertTrue(tryRefuse("job" + RefusalRegister.MAX_ENTRIES));
    }

    @Test
    public void nothingIsRefusedForAWhileAfterACompletedHandoverWasLeftOut() {
        for (int i = 0; i <= RefusalRegister.MAX_ENTRIES; i++) {
            tryStore("job" + i);
            mRegister.outcomeKnown("job" + i, mNowMs);
        }
        advance(PROTECTION_MS - 1);
        assertFalse(tryRefuse("job" + RefusalRegister.MAX_ENTRIES));

        advance(1);
        assertTrue(tryRefuse("job" + RefusalRegister.MAX_ENTRIES));
    }

    @Test
    public void aSecondRefusalOfAJobExtendsTheFirst() {
        tryRefuse("a");
        advance(1);
        tryRefuse("b");
        advance(499);
        tryRefuse("a");
        advance(KEEP_MS - 1);

        assertFalse(tryStore("a"));
    }
}
