package org.foxtailplank.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests when crashes of workers prove a fault of a task. */
public class CrashHistoryTest {
    private static final int OVERWHELMING = 10_000;

    @Test
    public void aSingleCrashProvesNothing() {
        CrashHistory once = CrashHistory.NONE.plusCrash(OVERWHELMING, 10);

        assertTrue(once.isSuspect());
        assertFalse(once.provesFault());
    }

    @Test
    public void twoCrashesWithEnoughEvidenceProveAFault() {
        assertFalse(new CrashHistory(2, 399, 0).provesFault());
        assertTrue(new CrashHistory(2, 400, 0).provesFault());
    }

    @Test
    public void fiveCrashesNeedLessEvidence() {
        assertFalse(new CrashHistory(4, 300, 0).provesFault());
        assertTrue(new CrashHistory(5, 300, 0).provesFault());
    }

    @Test
    public void manyCrashesByChanceProveNothing() {
        assertFalse(new CrashHistory(50, 299, 0).provesFault());
    }

    /** Guards against an overflow that a malformed journal record would cause in every owner. */
    @Test
    public void aProvenFaultIsNotCountedFurther() {
        CrashHistory proven = new CrashHistory(Integer.MAX_VALUE, 400, 0);

        assertEquals(proven.plusCrash(1, 10), proven);
    }

    @Test
    public void theBackoffBeginsWithTheSecondCrashAndIsBounded() {
        assertEquals(new CrashHistory(1, 0, 0).backoffMs(), 0);
        assertEquals(new CrashHistory(2, 0, 0).backoffMs(), 1000);
        assertEquals(new CrashHistory(Integer.MAX_VALUE, 0, 0).backoffMs(), 2000);
    }

    @Test
    public void theAgesOfTheLastCrashesAreKept() {
        CrashHistory crashes = CrashHistory.NONE;
        for (long ageMs = 1; ageMs <= 7; ageMs++) {
            crashes = crashes.plusCrash(0, ageMs);
        }

        assertEquals(crashes.agesMs(), List.of(3L, 4L, 5L, 6L, 7L));
    }

    /** Guards against a crash of unknown age that is compared with later ones. */
    @Test
    public void anUnknownAgeIsNotKept() {
        CrashHistory crashes = CrashHistory.NONE.plusCrash(0, 56).plusCrash(0, 0);

        assertEquals(crashes, new CrashHistory(2, 0, List.of(56L)));
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void anAgeThatIsNotPositiveIsRejected() {
        new CrashHistory(1, 0, List.of(-1L));
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void aNegativeNumberOfCrashesIsRejected() {
        new CrashHistory(-1, 0, 0);
    }
}
