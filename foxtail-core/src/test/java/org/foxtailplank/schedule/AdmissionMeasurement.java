package org.foxtailplank.schedule;

import java.util.Locale;
import java.util.function.Function;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.Outlook;
import org.foxtailplank.schedule.SimulatedAdmission.Ahead;
import org.foxtailplank.schedule.SimulatedAdmission.Returns;
import org.testng.annotations.Test;

/**
 * Compares ways to decide on submissions on the same seeded loads. Not part of the suite; run it
 * with {@code mvn -o -pl foxtail-core test -Dtest=AdmissionMeasurement}.
 */
public class AdmissionMeasurement {
    private static final int SEEDS = 4;
    private static final long TURN_MS = 4000;

    /** A load to play. */
    private enum Load {
        TURNS(s -> new TurnLoad(s, TURN_MS)),
        OVERLOAD(s -> new TurnLoad(s, TURN_MS).withTurnFactor(2)),
        FLOOD(s -> new TurnLoad(s, TURN_MS).withOrganisations().withFlood(7)),
        OUTAGE(s -> new TurnLoad(s, TURN_MS));

        private final Function<Long, TurnLoad> mCreate;

        Load(Function<Long, TurnLoad> create) {
            mCreate = create;
        }

        SimulatedAdmission play(
                long seed, AdmissionMode mode, Ahead ahead, Returns returns, boolean reserves) {
            TurnLoad load = mCreate.apply(seed);
            SimulatedAdmission admission = new SimulatedAdmission(load.simulation(), mode);
            admission.mAhead = ahead;
            admission.mReturns = returns;
            admission.mReserves = reserves;
            if (this == OUTAGE) {
                admission.mOutageFromMs = TURN_MS;
                admission.mOutageUntilMs = TURN_MS + 3500;
            }
            load.play();
            return admission;
        }
    }

    @Test
    public void measureErrors() {
        for (Load load : Load.values()) {
            for (Ahead ahead : Ahead.values()) {
                int[] n = new int[6];
                double errorSum = 0;
                int errors = 0;
                for (int seed = 0; seed < SEEDS; seed++) {
                    TurnLoad turns = load.mCreate.apply((long) seed);
                    FleetSimulation simulation = turns.simulation();
                    SimulatedAdmission admission =
                            new SimulatedAdmission(simulation, AdmissionMode.SURELY_LATE);
                    admission.mAhead = ahead;
                    admission.mOnlyObserves = true;
                    if (load == Load.OUTAGE) {
                        admission.mOutageFromMs = TURN_MS;
                        admission.mOutageUntilMs = 3500 + TURN_MS;
                    }
                    turns.play();
                    for (var e : admission.mFirst.entrySet()) {
                        Outlook outlook = e.getValue().outlook();
                        n[2 * outlook.ordinal()]++;
                        boolean good =
                                outlook == Outlook.IN_TIME
                                        ? simulation.job(e.getKey()).isInTime()
                                        : simulation.job(e.getKey()).hasBenefit();
                        n[2 * outlook.ordinal() + 1] += good ? 1 : 0;
                    }
                }
                System.out.printf(
                        Locale.ROOT,
                        "measured errors %s %s: in time %d (%d were), late %d (%d had a benefit),"
                                + " surely late %d (%d had a benefit)%n",
                        load,
                        ahead,
                        n[0],
                        n[1],
                        n[2],
                        n[3],
                        n[4],
                        n[5]);
            }
        }
    }

    @Test
    public void measureEffects() {
        for (Load load : Load.values()) {
            print(load, AdmissionMode.OFF, Ahead.WORK, Returns.PLANNED, true);
            for (Ahead a : Ahead.values()) {
                print(load, AdmissionMode.SURELY_LATE, a, Returns.PLANNED, true);
                print(load, AdmissionMode.BEYOND_OBJECTIVE, a, Returns.PLANNED, true);
            }
            print(load, AdmissionMode.BEYOND_OBJECTIVE, Ahead.WORK, Returns.PLANNED, false);
            print(load, AdmissionMode.BEYOND_OBJECTIVE, Ahead.WORK, Returns.RANDOM, false);
            print(load, AdmissionMode.BEYOND_OBJECTIVE, Ahead.WORK, Returns.CONSTANT, false);
        }
    }

    private static void print(
            Load load, AdmissionMode mode, Ahead ahead, Returns returns, boolean reserves) {
        double earned = 0;
        int jobs = 0;
        int accepted = 0;
        int inTime = 0;
        int useless = 0;
        int refusals = 0;
        int refusedForGood = 0;
        int peak = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedAdmission a = load.play(seed, mode, ahead, returns, reserves);
            earned += a.simulation().earnedShare() / SEEDS;
            jobs += a.mFirst.size();
            refusals += a.mSentRefusals;
            for (String id : a.mFirst.keySet()) {
                boolean in = a.mAccepted.contains(id);
                accepted += in ? 1 : 0;
                refusedForGood += in ? 0 : 1;
                inTime += a.simulation().job(id).isInTime() ? 1 : 0;
                useless += in && !a.simulation().job(id).hasBenefit() ? 1 : 0;
            }
            peak =
                    Math.max(
                            peak,
                            a.mReturnsBySecond.values().stream().mapToInt(i -> i).max().orElse(0));
        }
        System.out.printf(
                Locale.ROOT,
                "measured %s %s %s %s%s: earned %.4f, jobs %d, accepted %d, in time %d,"
                        + " accepted without benefit %d, refused for good %d, refusals %d,"
                        + " most returns in 1 s %d%n",
                load,
                mode,
                ahead,
                returns,
                reserves ? "" : " without reservation",
                earned,
                jobs,
                accepted,
                inTime,
                useless,
                refusedForGood,
                refusals,
                peak);
    }
}
