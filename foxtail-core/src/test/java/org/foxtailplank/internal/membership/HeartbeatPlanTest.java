package org.foxtailplank.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class HeartbeatPlanTest {

    private static final Duration HEARTBEAT = Duration.ofSeconds(1);

    @Test
    public void sendsToAllPeersWithinTheBudget() {
        HeartbeatPlan<Integer> plan = plan(1_000);
        assertEquals(new HashSet<>(plan.nextPeers(peers(8), 9)), peers(8));
        assertEquals(plan.digestLimit(8, 9), 2);
        assertEquals(plan.propagationDelay(8, 9), Duration.ZERO);
    }

    @Test
    public void sendsToEachPeerOncePerRoundBeyondTheBudget() {
        HeartbeatPlan<Integer> plan = plan(1_000);
        Set<Integer> reached = new HashSet<>();
        for (int tick = 0; tick < 10; tick++) {
            List<Integer> chosen = plan.nextPeers(peers(20), 276);
            assertEquals(chosen.size(), 2);
            assertTrue(reached.addAll(chosen));
        }
        assertEquals(reached, peers(20));
        assertTrue(plan.propagationDelay(20, 276).compareTo(Duration.ZERO) > 0);
    }

    @Test
    public void selectsNoPeerTwiceNorRemovedPeers() {
        HeartbeatPlan<Integer> plan = plan(1_000);
        plan.nextPeers(peers(5), 500);
        for (int tick = 0; tick < 20; tick++) {
            List<Integer> chosen = plan.immediatePeers(peers(3), 2, 500);
            assertEquals(Set.copyOf(chosen).size(), 2);
            assertTrue(peers(3).containsAll(chosen));
        }
    }

    @Test
    public void unscheduledMessagesAreDeductedFromTheBudget() {
        HeartbeatPlan<Integer> plan = plan(1_000);
        plan.immediatePeers(peers(20), 8, 500);
        int sent = 8;
        for (int tick = 0; tick < 20; tick++) {
            sent += plan.nextPeers(peers(20), 276).size();
        }
        assertTrue(sent <= 8 + 20 * 2, "heartbeats sent: " + sent);
        assertEquals(plan.nextPeers(peers(20), 276).size(), 2);
    }

    @Test
    public void sendsNothingWithoutPeers() {
        assertTrue(plan(1_000).nextPeers(Set.of(), 100).isEmpty());
    }

    private static HeartbeatPlan<Integer> plan(int bytesPerSecond) {
        return new HeartbeatPlan<>(HEARTBEAT, bytesPerSecond, new Random(1));
    }

    private static Set<Integer> peers(int count) {
        return IntStream.range(0, count).boxed().collect(Collectors.toSet());
    }
}
