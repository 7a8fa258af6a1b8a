package org.foxtailplank.internal.membership;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.state.StatePosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CatchUpTest {

    private static final long GRACE = 250;
    private static final long AVOID = 1_000;

    private CatchUp mCatchUp;

    @BeforeMethod
    public void begin() {
        mCatchUp = new CatchUp(ZoneId.of("a"), GRACE, AVOID, new Random(1));
    }

    @Test
    public void asksNoPeerWhileNoneIsAhead() {
        assertEquals(mCatchUp.peerToAsk(at(9), List.of(member("x", "a", 9)), 0), Optional.empty());
        assertEquals(
                mCatchUp.peerToAsk(at(9), List.of(member("x", "a", 8)), GRACE), Optional.empty());
    }

    @Test
    public void asksAPeerOnlyAfterTheGracePeriod() {
        List<Member> members = List.of(member("x", "a", 10));
        assertEquals(mCatchUp.peerToAsk(at(9), members, 0), Optional.empty());
        assertEquals(mCatchUp.peerToAsk(at(9), members, GRACE - 1), Optional.empty());
        assertEquals(mCatchUp.peerToAsk(at(9), members, GRACE), Optional.of(NodeId.of("x")));
    }

    @Test
    public void progressThroughThePlatformRestartsTheGracePeriod() {
        List<Member> members = List.of(member("x", "a", 20));
        mCatchUp.peerToAsk(at(9), members, 0);
        assertEquals(mCatchUp.peerToAsk(at(10), members, GRACE), Optional.empty());
        assertEquals(mCatchUp.peerToAsk(at(10), members, 2 * GRACE), Optional.of(NodeId.of("x")));
    }

    @Test
    public void progressThroughAPeerDoesNotRestartTheGracePeriod() {
        List<Member> members = List.of(member("x", "a", 20));
        mCatchUp.peerToAsk(at(9), members, 0);
        mCatchUp.peerHelped(at(12));
        assertEquals(mCatchUp.peerToAsk(at(12), members, GRACE), Optional.of(NodeId.of("x")));
    }

    @Test
    public void prefersPeersInItsOwnZone() {
        List<Member> members = List.of(member("far", "b", 30), member("near", "a", 10));
        mCatchUp.peerToAsk(at(9), members, 0);
        assertEquals(mCatchUp.peerToAsk(at(9), members, GRACE), Optional.of(NodeId.of("near")));
    }

    @Test
    public void asksAnotherPeerAfterOneFailed() {
        List<Member> members = List.of(member("near", "a", 10), member("far", "b", 10));
        mCatchUp.peerToAsk(at(9), members, 0);
        mCatchUp.peerFailed(NodeId.of("near"), GRACE);
        assertEquals(mCatchUp.peerToAsk(at(9), members, GRACE), Optional.of(NodeId.of("far")));
        assertEquals(
                mCatchUp.peerToAsk(at(9), members, GRACE + AVOID), Optional.of(NodeId.of("near")));
    }

    @Test
    public void restoredLogIsNewerThanTheLongerLogBeforeIt() {
        StatePosition restored = new StatePosition(1, 5, 5);
        NodeStatus status = new NodeStatus(0, restored, LoadSummary.none());
        Member peer = new Member(member("x", "a", 5).identity(), MemberState.ALIVE, status);
        mCatchUp.peerToAsk(at(9), List.of(peer), 0);
        assertEquals(mCatchUp.peerToAsk(at(9), List.of(peer), GRACE), Optional.of(NodeId.of("x")));
    }

    @Test
    public void asksNoPeerThatIsAway() {
        Member away = new Member(member("x", "a", 10).identity(), MemberState.AWAY, status(10));
        mCatchUp.peerToAsk(at(9), List.of(away), 0);
        assertEquals(mCatchUp.peerToAsk(at(9), List.of(away), GRACE), Optional.empty());
    }

    private static Member member(String node, String zone, long nextOffset) {
        PeerIdentity identity =
                new PeerIdentity(
                        NodeId.of(node),
                        new Incarnation(node.hashCode()),
                        ZoneId.of(zone),
                        new InetSocketAddress("127.0.0.1", 1),
                        Set.of());
        return new Member(identity, MemberState.ALIVE, status(nextOffset));
    }

    private static NodeStatus status(long nextOffset) {
        return new NodeStatus(0, at(nextOffset), LoadSummary.none());
    }

    private static StatePosition at(long nextOffset) {
        return new StatePosition(0, nextOffset, nextOffset);
    }
}
