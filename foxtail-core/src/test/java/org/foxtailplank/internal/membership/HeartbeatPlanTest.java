package org.foxtailplank.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class HeartbeatPlanTest {

    @Test
    public void reachesAllPeersWhileTheBudgetAllows() {
        HeartbeatPlan<Integer> plan = new HeartbeatPlan<>(1_000, 2, new Random(1));
        assertEquals(new HashSet<>(plan.next(peers(8), 125)), peers(8));
    }

    @Test
    public void reachesEachPeerOnceARoundBeyondTheBudget() {
        HeartbeatPlan<Integer> plan = new HeartbeatPlan<>(1_000, 2, new Random(1));
        Set<Integer> reached = new HashSet<>();
        for (int tick = 0; tick < 5; tick++) {
            List<Integer> chosen = plan.next(peers(10), 500);
            assertEquals(chosen.size(), 2);
            assertTrue(reached.addAll(chosen));
        }
        assertEquals(reached, peers(10));
    }

    @Test
    public void aTickNeverReachesAPeerTwiceNorOneThatIsGone() {
        HeartbeatPlan<Integer> plan = new HeartbeatPlan<>(1_000, 2, new Random(1));
        plan.next(peers(5), 500);
        for (int tick = 0; tick < 20; tick++) {
            List<Integer> chosen = plan.next(peers(3), 500);
            assertEquals(Set.copyOf(chosen).size(), 2);
            assertTrue(peers(3).containsAll(chosen));
        }
    }

    @Test
    public void staysSilentWithoutPeers() {
        HeartbeatPlan<Integer> plan = new HeartbeatPlan<>(1_000, 2, new Random(1));
        assertTrue(plan.next(Set.of(), 100).isEmpty());
    }

    private static Set<Integer> peers(int count) {
        return IntStream.range(0, count).boxed().collect(Collectors.toSet());
    }
}
