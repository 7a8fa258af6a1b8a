package org.foxtailplank.schedule;

import static org.foxtailplank.schedule.OwnerHarness.definition;
import static org.foxtailplank.schedule.OwnerHarness.organisation;
import static org.foxtailplank.schedule.OwnerHarness.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;
import org.testng.annotations.Test;

/** Tests that an organisation that submits too many jobs delays no other one. */
public class JobEntitlementsTest {
    /** Jobs of the organisation that floods, in a tenth of a second. */
    private static final double FLOOD_PER_TICK = 8;

    private static final int SEEDS = 6;

    private static JobDefinition job(String organisation, long acceptedMs) {
        JobDefinition d = definition("j", "s", 0, organisation, step(1, 1, 500, List.of()));
        return new JobDefinition(
                d.id(),
                d.route(),
                d.service(),
                d.text(),
                d.steps(),
                d.timetable(),
                d.policy(),
                acceptedMs,
                0,
                organisation);
    }

    private static JobEntitlements entitlements(Organisation... organisations) {
        JobEntitlements entitlements = new JobEntitlements();
        try {
            entitlements.setOrganisations(Organisations.of(List.of(organisations)));
        } catch (Organisations.DuplicateException e) {
            throw new IllegalArgumentException(e);
        }
        return entitlements;
    }

    @Test
    public void anOrganisationMayUseUpFiveSecondsOfItsRateAtOnce() {
        JobEntitlements entitlements = entitlements(organisation("a", 2, 0));
        int entitled = 0;
        for (int i = 0; i < 30; i++) {
            entitled += entitlements.take(job("a", 1000)) ? 1 : 0;
        }
        assertEquals(entitled, 10);
        assertTrue(entitlements.take(job("a", 1500)), "half a second allows one more job");
        assertEquals(entitlements.take(job("a", 1500)), false);
    }

    @Test
    public void jobsWithoutAnOrganisationAreNotLimited() {
        JobEntitlements entitlements = entitlements(organisation("a", 2, 0));
        for (int i = 0; i < 100; i++) {
            assertTrue(entitlements.take(job(Organisation.NONE, 1000)));
            assertTrue(entitlements.take(job("unknown", 1000)));
        }
    }

    /** Guards against one organisation that takes the capacity of all others. */
    @Test
    public void jobsBeyondTheRateComeAfterThoseOfOtherOrganisations() {
        OwnerHarness owner = new OwnerHarness();
        owner.setOrganisations(organisation("a", 1, 0), organisation("b", 1, 0));
        owner.mScheduler.setOrganisations(owner.mConfig.organisations());
        for (int i = 0; i < 20; i++) {
            owner.accept(definition("a" + i, "surveys", 0, "a", step(1, 1, 400, List.of())));
        }
        owner.accept(definition("b", "surveys", 1, "b", step(4, 1, 900, List.of())));
        List<ActiveRun> runs = new ArrayList<>();
        owner.mScheduler.runs().jobs().forEach(j -> runs.add(j.runs().get(0)));

        List<ActiveRun> sorted =
                UrgencyOrder.sort(
                        runs,
                        PoolCapacity.of(100 * OwnerHarness.CORE),
                        OrganisationCaps.NONE,
                        OwnerHarness.WALL_MS);

        assertEquals(sorted.get(5).job().id(), "b");
    }

    /** Replays a load in which one of ten organisations sends many times its usual. */
    private static double onTimeShareOfOthers(double weightOfFlooding) {
        double onTime = 0;
        double jobs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            FleetSimulation simulation = new FleetSimulation();
            simulation.addVms("surveys", 8);
            simulation.addVms("off", 6);
            List<Organisation> all = new ArrayList<>();
            for (int o = 0; o < 10; o++) {
                all.add(organisation("o" + o, o == 0 ? weightOfFlooding : 4, 0));
            }
            simulation.mOwner.setOrganisations(all.toArray(Organisation[]::new));
            for (int i = 0; i < 120; i++) {
                boolean flood = i >= 30 && i < 90;
                for (int o = 0; o < 10; o++) {
                    double perTick = o == 0 && flood ? FLOOD_PER_TICK : 0.15;
                    if (random.nextDouble() < perTick - (int) perTick) {
                        addJob(simulation, random, "o" + o);
                    }
                    for (int n = 0; n < (int) perTick; n++) {
                        addJob(simulation, random, "o" + o);
                    }
                }
                simulation.tick();
            }
            simulation.advance(30_000);
            onTime += simulation.onTimeJobs(d -> !d.organisation().equals("o0"));
            jobs += simulation.totalJobs(d -> !d.organisation().equals("o0"));
        }
        return onTime / jobs;
    }

    private static void addJob(FleetSimulation simulation, Random random, String organisation) {
        simulation.addJob(
                "surveys", 1, organisation, step(1 + random.nextInt(11), 2, 800, List.of()));
    }

    /** Guards against a flood of one organisation that makes most jobs of the others late. */
    @Test
    public void aFloodOfOneOrganisationDoesNotMakeJobsOfOthersLate() {
        double limited = onTimeShareOfOthers(4);
        double unlimited = onTimeShareOfOthers(1000);

        System.out.println("on time beside a flood: " + limited + ", without shares " + unlimited);
        assertTrue(limited > 0.95, "on time: " + limited);
        assertTrue(unlimited < limited - 0.2, "on time without shares: " + unlimited);
    }
}
