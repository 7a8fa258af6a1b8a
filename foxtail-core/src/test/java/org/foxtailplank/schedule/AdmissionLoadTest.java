package org.foxtailplank.schedule;

import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.function.Predicate;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.schedule.SimulatedAdmission.Returns;
import org.testng.annotations.Test;

/**
 * Plays loads that pools can't hold, with and without decisions on submissions.
 *
 * <p>Each test also plays its load without the decision, and asserts that it would fail then.
 */
public class AdmissionLoadTest {
    private static final long TURN_MS = 4000;
    private static final Set<String> LARGE = Set.of("levels", "valuation");

    private static SimulatedAdmission play(TurnLoad load, AdmissionMode mode) {
        SimulatedAdmission admission = new SimulatedAdmission(load.simulation(), mode);
        load.play();
        return admission;
    }

    private static SimulatedAdmission playOverload(AdmissionMode mode) {
        return play(new TurnLoad(1, TURN_MS).withTurnFactor(2), mode);
    }

    /** Share of the accepted jobs that complete too late for any benefit. */
    private static double uselessShare(
            SimulatedAdmission admission, Predicate<JobDefinition> filter) {
        double accepted = 0;
        double useless = 0;
        for (JobDefinition d : admission.mSubmitted.values()) {
            if (filter.test(d) && admission.mAccepted.contains(d.id())) {
                accepted++;
                useless += admission.simulation().job(d.id()).hasBenefit() ? 0 : 1;
            }
        }
        return useless / accepted;
    }

    private static void assertFewerUseless(
            SimulatedAdmission with,
            SimulatedAdmission without,
            double limit,
            Predicate<JobDefinition> filter) {
        double share = uselessShare(with, filter);
        double shareWithout = uselessShare(without, filter);
        System.out.println("accepted without benefit: " + share + ", all accepted " + shareWithout);

        assertTrue(share < limit, "accepted without benefit: " + share);
        assertTrue(shareWithout > limit, "without decisions: " + shareWithout);
    }

    @Test
    public void jobsAtTheStartOfATurnAreNotHeldUntilTheyHaveNoBenefit() {
        // Guards against jobs that arrive before the VMs of their turn, wait, and earn nothing.
        assertFewerUseless(
                playOverload(AdmissionMode.BEYOND_OBJECTIVE),
                playOverload(AdmissionMode.OFF),
                0.08,
                d -> true);
    }

    private static double refusedLargeShare(SimulatedAdmission admission) {
        double large = 0;
        double refused = 0;
        for (JobDefinition d : admission.mSubmitted.values()) {
            if (LARGE.contains(d.service())) {
                large++;
                refused += admission.mFirst.get(d.id()).refused() ? 1 : 0;
            }
        }
        return refused / large;
    }

    @Test
    public void largeJobsOfABurstAreNotRefusedUnlessTheyAreSurelyLate() {
        // Guards against refusals of large jobs, most of which can still be served. Without the
        // allowance for errors, all that are expected to be late are refused.
        double share = refusedLargeShare(playOverload(AdmissionMode.SURELY_LATE));
        double all = refusedLargeShare(playOverload(AdmissionMode.BEYOND_OBJECTIVE));
        System.out.println("large jobs refused: " + share + ", all late ones " + all);

        assertTrue(share < 0.02, "refused: " + share);
        assertTrue(all > 0.02, "refused without the allowance: " + all);
    }

    private static TurnLoad flood() {
        return new TurnLoad(1, TURN_MS).withOrganisations().withFlood(7);
    }

    @Test
    public void anOrganisationThatFloodsIsToldAtOnce() {
        // Guards against jobs of a flood that wait under their organisation's cap until they have
        // no benefit. No fewer jobs of others have a benefit.
        SimulatedAdmission with = play(flood(), AdmissionMode.SURELY_LATE);
        SimulatedAdmission without = play(flood(), AdmissionMode.OFF);
        assertFewerUseless(with, without, 0.4, d -> d.organisation().equals(TurnLoad.FLOODING));
        long useful = usefulOthers(with);
        long usefulWithout = usefulOthers(without);
        System.out.println("useful jobs of others: " + useful + ", all accepted " + usefulWithout);
        assertTrue(useful >= 0.99 * usefulWithout, useful + " and " + usefulWithout);
    }

    /** Number of jobs of other organisations that completed with a benefit. */
    private static long usefulOthers(SimulatedAdmission admission) {
        return admission.mSubmitted.values().stream()
                .filter(d -> !d.organisation().equals(TurnLoad.FLOODING))
                .filter(d -> admission.simulation().job(d.id()).hasBenefit())
                .count();
    }

    private static SimulatedAdmission playOutage(AdmissionMode mode) {
        TurnLoad load = new TurnLoad(1, TURN_MS).withTurnFactor(2);
        SimulatedAdmission admission = new SimulatedAdmission(load.simulation(), mode);
        admission.mOutageFromMs = TURN_MS;
        admission.mOutageUntilMs = TURN_MS + 3500;
        load.play();
        return admission;
    }

    @Test
    public void jobsOfAnOutageDoNotWaitWithoutBenefitBesideANewTurn() {
        // Guards against the jobs of an outage of all nodes, which callers send again at its end
        // together with those of a turn.
        assertFewerUseless(
                playOutage(AdmissionMode.BEYOND_OBJECTIVE),
                playOutage(AdmissionMode.OFF),
                0.1,
                d -> true);
    }

    private static double refusalsPerJob(Returns returns) {
        TurnLoad load = new TurnLoad(1, TURN_MS).withTurnFactor(2);
        SimulatedAdmission admission =
                new SimulatedAdmission(load.simulation(), AdmissionMode.BEYOND_OBJECTIVE);
        admission.mReturns = returns;
        load.play();
        return (double) admission.mSentRefusals / admission.mSubmitted.size();
    }

    @Test
    public void callersThatWereRefusedTogetherDoNotReturnTogether() {
        // Guards against callers that return at the same time and are refused again.
        double planned = refusalsPerJob(Returns.PLANNED);
        double constant = refusalsPerJob(Returns.CONSTANT);
        System.out.println("refusals for each job: " + planned + ", constant " + constant);

        assertTrue(planned < 0.95, "refusals for each job: " + planned);
        assertTrue(constant > 0.95, "with a constant Retry-After: " + constant);
    }
}
