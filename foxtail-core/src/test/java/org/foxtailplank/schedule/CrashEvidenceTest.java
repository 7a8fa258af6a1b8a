package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests how much the time of a crash proves. */
public class CrashEvidenceTest {
    private static final double RATE = 0.1;
    private static final double HUNDREDTHS = 100;
    private static final double ROUNDING = 1.012;
    private static final int SEED = 43;
    private static final int TRIALS = 500;
    private static final int MAX_AGES = 5;

    private static int evidence(long ageMs, List<Long> earlierAgesMs) {
        return CrashEvidence.of(ageMs, earlierAgesMs, RATE);
    }

    /** Mean ratio of a crash that comes at any time by chance, but for the factor of the rate. */
    private static double mass(List<Long> earlierAgesMs) {
        double mass = 0;
        for (long ms = 1; ms <= TaskRun.PROBATION_MS; ms++) {
            mass += Math.pow(10, evidence(ms, earlierAgesMs) / HUNDREDTHS) * RATE / 1000;
        }
        return mass;
    }

    /** Guards against healthy tasks that are given up as earlier ages inflate the evidence. */
    @Test
    public void earlierAgesDoNotRaiseTheEvidenceOnTheWhole() {
        double most = mass(List.of()) * ROUNDING * ROUNDING;
        Random random = new Random(SEED);
        for (int t = 0; t < TRIALS; t++) {
            List<Long> ages = new ArrayList<>();
            for (int a = random.nextInt(MAX_AGES); a >= 0; a--) {
                ages.add((long) Math.pow(TaskRun.PROBATION_MS, random.nextDouble()));
            }
            assertTrue(mass(ages) <= most, mass(ages) + " after " + ages);
        }
    }

    @Test
    public void aCrashThatRepeatsAnyEarlierAgeIsMoreEvidence() {
        int unrelated = evidence(56, List.of(412L, 700L, 900L));

        assertTrue(evidence(56, List.of(56L, 412L, 700L)) > unrelated);
        assertTrue(evidence(56, List.of(412L, 56L, 700L)) > unrelated);
        assertTrue(evidence(56, List.of(412L, 700L, 56L)) > unrelated);
    }

    @Test
    public void aCrashIsMoreEvidenceTheCloserItIsToAnEarlierAge() {
        List<Long> ages = List.of(500L);

        assertTrue(evidence(510, ages) > evidence(560, ages));
        assertTrue(evidence(560, ages) > evidence(900, ages));
    }

    /** Guards against crashes of unknown time that count as if they came at the same time. */
    @Test
    public void aCrashUpToATimeIsAsMuchEvidenceAsOneInThatTimeOnAverage() {
        List<Long> ages = List.of(50L, 98L);
        double sum = 0;
        for (long ms = 1; ms <= 100; ms++) {
            sum += Math.pow(10, evidence(ms, ages) / HUNDREDTHS);
        }
        double ratio = Math.pow(10, CrashEvidence.ofAgeUpTo(100, ages, RATE) / HUNDREDTHS);

        assertEquals(ratio, sum / 100, ratio * (ROUNDING * ROUNDING - 1));
    }

    @Test
    public void theOrderOfEarlierAgesDoesNotMatter() {
        assertEquals(evidence(56, List.of(412L, 56L)), evidence(56, List.of(56L, 412L)));
    }
}
