package org.foxtailplank.internal.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Explores interleavings of timeouts, lost answers, killed and paused entries, to find one in which
 * a key runs twice. An entry is paused by taking no step.
 */
public class ClaimsExplorationTest {

    /**
     * Limit of states per exploration; {@code -Dfoxtail.explore.states=2000000} covers them all.
     */
    private static final int MAX_STATES = Integer.getInteger("foxtail.explore.states", 8_000);

    private static final int SEED = 4711;
    private static final int WALKS = 5_000;
    private static final int MAX_WALK_STEPS = 60;

    private record Result(int states, int depth, boolean complete, String violation) {}

    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {
            {"lost answers", 2, new ClaimsModel.Budget(2, 1, 0, 0, 0)},
            {"two faults", 2, new ClaimsModel.Budget(2, 2, 0, 0, 0)},
            {"kill", 2, new ClaimsModel.Budget(3, 0, 1, 0, 0)},
            {"kill and fault", 2, new ClaimsModel.Budget(2, 1, 1, 0, 0)},
            {"deadlines", 2, new ClaimsModel.Budget(3, 1, 0, 1, 0)},
            {"shortened stream", 2, new ClaimsModel.Budget(2, 0, 0, 0, 1)},
            {"three entries", 3, new ClaimsModel.Budget(3, 0, 0, 0, 0)},
            {"three entries, kill", 3, new ClaimsModel.Budget(2, 0, 1, 0, 0)},
        };
    }

    @Test(dataProvider = "budgets")
    public void noInterleavingRunsKeyTwiceOrReportsWrongOutcome(
            String scenario, int entries, ClaimsModel.Budget budget) {
        Result result = explore(entries, budget, ClaimsModel.Guard.NONE, MAX_STATES);
        System.out.println("explored " + scenario + ": " + result);
        assertEquals(result.violation(), "");
    }

    /** Reaches deeper states than the bounded search, by seeded random walks. */
    @Test(dataProvider = "budgets")
    public void noRandomWalkRunsKeyTwiceOrReportsWrongOutcome(
            String scenario, int entries, ClaimsModel.Budget budget) {
        Random random = new Random(SEED);
        long steps = 0;
        for (int walk = 0; walk < WALKS; walk++) {
            ClaimsModel model = new ClaimsModel(entries, budget, ClaimsModel.Guard.NONE);
            List<ClaimsModel.Step> path = new ArrayList<>();
            while (path.size() < MAX_WALK_STEPS && model.violation().isEmpty()) {
                List<ClaimsModel.Step> choices = model.steps();
                ClaimsModel.Step step = choices.get(random.nextInt(choices.size()));
                model.perform(step);
                path.add(step);
            }
            steps += path.size();
            assertEquals(model.violation(), "", "seed " + SEED + ", walk " + walk + ": " + path);
        }
        System.out.println("walked " + scenario + ": " + WALKS + " walks, " + steps + " steps");
    }

    @DataProvider
    public Object[][] guards() {
        return new Object[][] {
            {ClaimsModel.Guard.INCARNATION, new ClaimsModel.Budget(2, 1, 1, 0, 0)},
            {ClaimsModel.Guard.PEER_POSITIONS, new ClaimsModel.Budget(2, 0, 0, 0, 1)},
            {ClaimsModel.Guard.QUARANTINE, new ClaimsModel.Budget(2, 0, 0, 0, 1)},
            {ClaimsModel.Guard.ONE_KEY_FOR_EACH_REQUEST, new ClaimsModel.Budget(2, 0, 0, 0, 0)},
        };
    }

    @Test(dataProvider = "guards")
    public void findsViolationWhenGuardIsDisabled(
            ClaimsModel.Guard guard, ClaimsModel.Budget budget) {
        Result result = explore(2, budget, guard, 300_000);
        System.out.println("explored without " + guard + ": " + result);
        assertTrue(!result.violation().isEmpty());
    }

    /**
     * Searches breadth first. States are rebuilt by replaying their steps, since coordinators can't
     * be copied.
     */
    private static Result explore(
            int entries, ClaimsModel.Budget budget, ClaimsModel.Guard guard, int limit) {
        Set<Digest> seen = new HashSet<>();
        List<List<ClaimsModel.Step>> level = List.of(List.of());
        int depth = 0;
        while (!level.isEmpty()) {
            List<List<ClaimsModel.Step>> next = new ArrayList<>();
            for (List<ClaimsModel.Step> path : level) {
                ClaimsModel reached = replay(entries, budget, guard, path);
                for (ClaimsModel.Step step : reached.steps()) {
                    ClaimsModel model =
                            reached == null ? replay(entries, budget, guard, path) : reached;
                    reached = null;
                    model.perform(step);
                    List<ClaimsModel.Step> extended = new ArrayList<>(path);
                    extended.add(step);
                    if (!model.violation().isEmpty()) {
                        String text = model.violation() + " by " + extended;
                        return new Result(seen.size(), depth + 1, false, text);
                    }
                    if (seen.add(Digest.ofTexts(model.describe()))) {
                        next.add(extended);
                    }
                }
                if (seen.size() > limit) {
                    return new Result(seen.size(), depth, false, "");
                }
            }
            level = next;
            depth++;
        }
        return new Result(seen.size(), depth, true, "");
    }

    private static ClaimsModel replay(
            int entries,
            ClaimsModel.Budget budget,
            ClaimsModel.Guard guard,
            List<ClaimsModel.Step> path) {
        ClaimsModel model = new ClaimsModel(entries, budget, guard);
        path.forEach(model::perform);
        return model;
    }
}
