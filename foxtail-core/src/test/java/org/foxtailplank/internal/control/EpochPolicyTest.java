package org.foxtailplank.internal.control;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.EpochState;
import org.testng.annotations.Test;

public class EpochPolicyTest {
    private static final ZoneId ZONE = ZoneId.of("a");
    private static final NodeId FIRST = NodeId.of("a-1");
    private static final NodeId SECOND = NodeId.of("a-2");
    private static final NodeId REMOTE = NodeId.of("b-1");
    private static final Map<NodeId, ZoneId> NODES =
            Map.of(FIRST, ZONE, SECOND, ZONE, REMOTE, ZoneId.of("b"));
    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final Duration LONG = Duration.ofHours(1);
    private static final Liveness ALL_HEARD = node -> Duration.ZERO;

    @Test
    public void keepsAnEpochThatThisProcessTook() {
        EpochDecision decision =
                policy(FIRST).decide(heldBy(FIRST, 7), OptionalLong.of(7), LONG, ALL_HEARD);
        assertEquals(decision, new EpochDecision.Held());
    }

    @Test
    public void takesAnEpochThatItsFormerProcessHeld() {
        EpochDecision decision = decide(FIRST, heldBy(FIRST, 7), LONG, ALL_HEARD);
        assertEquals(
                decision, new EpochDecision.Take(7, "held by an earlier process of this node"));
    }

    @Test
    public void letsTheFirstNodeOfTheZoneTryFirst() {
        EpochState nobody = new EpochState(ZONE, 0, Optional.empty(), 0);
        EpochDecision take = new EpochDecision.Take(0, "nobody holds it");
        assertEquals(decide(FIRST, nobody, Duration.ZERO, ALL_HEARD), take);
        assertEquals(decide(SECOND, nobody, Duration.ZERO, ALL_HEARD), new EpochDecision.StandBy());
        assertEquals(decide(SECOND, nobody, Duration.ofSeconds(1), ALL_HEARD), take);
        assertEquals(
                decide(REMOTE, nobody, Duration.ofSeconds(1), ALL_HEARD),
                new EpochDecision.StandBy());
    }

    @Test
    public void doesNotReplaceALiveHolder() {
        assertEquals(
                decide(SECOND, heldBy(FIRST, 3), LONG, ALL_HEARD), new EpochDecision.StandBy());
    }

    @Test
    public void takesTheEpochOfASilentHolderInTurn() {
        EpochState epoch = heldBy(FIRST, 3);
        Duration turn = SILENCE.plusSeconds(1);
        EpochDecision take = new EpochDecision.Take(3, "a-1 is silent");
        assertEquals(decide(SECOND, epoch, LONG, silent(FIRST, SILENCE)), take);
        assertEquals(
                decide(REMOTE, epoch, LONG, silent(FIRST, SILENCE)), new EpochDecision.StandBy());
        assertEquals(decide(REMOTE, epoch, LONG, silent(FIRST, turn)), take);
    }

    @Test
    public void takesTheEpochBackIntoTheZone() {
        EpochDecision decision = decide(FIRST, heldBy(REMOTE, 3), LONG, ALL_HEARD);
        assertEquals(decision, new EpochDecision.Take(3, "b-1 is in another zone"));
    }

    @Test
    public void doesNotTakeASilentHoldersEpochRightAfterItsOwnStart() {
        EpochDecision decision =
                decide(SECOND, heldBy(FIRST, 3), Duration.ZERO, silent(FIRST, LONG));
        assertEquals(decision, new EpochDecision.StandBy());
    }

    private static Liveness silent(NodeId node, Duration silence) {
        return n -> n.equals(node) ? silence : Duration.ZERO;
    }

    private static EpochDecision decide(
            NodeId self, EpochState epoch, Duration waited, Liveness liveness) {
        return policy(self).decide(epoch, OptionalLong.empty(), waited, liveness);
    }

    private static EpochPolicy policy(NodeId self) {
        return new EpochPolicy(self, NODES, SILENCE, Duration.ofSeconds(1));
    }

    private static EpochState heldBy(NodeId holder, long number) {
        return new EpochState(ZONE, number, Optional.of(holder), 1);
    }
}
