package org.foxtailplank.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.testng.annotations.Test;

public class MemberTableTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration AWAY = Duration.ofSeconds(2);

    private final PeerIdentity mSelf = peer("self", 1, 1000);
    private final PeerIdentity mOther = peer("other", 2, 2000);

    @Test
    public void silentMemberIsSuspectedThenAwayThenRemoved() {
        MemberTable table = table();
        table.met(mOther, 0);
        assertEquals(stateAt(table, SECOND - 1), MemberState.ALIVE);
        assertEquals(stateAt(table, SECOND), MemberState.SUSPECT);
        assertEquals(stateAt(table, 2 * SECOND), MemberState.AWAY);
        table.tick(20 * SECOND);
        assertTrue(table.members().isEmpty());
    }

    @Test
    public void heartbeatRestoresAMemberThatWasAway() {
        MemberTable table = table();
        table.met(mOther, 0);
        table.tick(3 * SECOND);
        table.heard(mOther.incarnation(), 7, 3 * SECOND);
        assertEquals(stateAt(table, 3 * SECOND), MemberState.ALIVE);
    }

    @Test
    public void eachStateChangeIsReportedOnce() {
        MemberTable table = table();
        table.met(mOther, 0);
        table.tick(2 * SECOND);
        table.tick(3 * SECOND);
        List<MemberState> states = table.takeChanges().stream().map(Member::state).toList();
        assertEquals(states, List.of(MemberState.ALIVE, MemberState.AWAY));
        assertTrue(table.takeChanges().isEmpty());
    }

    /** Guards against nodes that keep a failed member alive by gossiping its last heartbeat. */
    @Test
    public void knownDigestIsNoSignOfLife() {
        MemberTable table = table();
        table.met(mOther, 0);
        table.heard(mOther.incarnation(), 7, 0);
        table.told(digest(mOther, 7), SECOND);
        assertEquals(stateAt(table, 2 * SECOND), MemberState.AWAY);
    }

    @Test
    public void newerDigestKeepsAMemberAliveWithoutDirectHeartbeats() {
        MemberTable table = table();
        table.met(mOther, 0);
        table.told(digest(mOther, 1), SECOND);
        assertEquals(stateAt(table, 2 * SECOND - 1), MemberState.ALIVE);
    }

    /** Guards against late gossip that revives the predecessor of a replaced VM. */
    @Test
    public void replacedVmWithTheSameAddressIsANewMember() {
        MemberTable table = table();
        PeerIdentity successor = peer("other", 3, 2000);
        table.reached(mOther, mOther.address(), 0);
        table.reached(successor, successor.address(), 1);
        table.told(digest(mOther, 99), 2);
        assertEquals(table.find(mOther.node()).orElseThrow().incarnation().value(), 3);
        assertEquals(table.find(mOther.incarnation()).orElseThrow().state(), MemberState.AWAY);
    }

    @Test
    public void lateHeartbeatDoesNotReviveADepartedMember() {
        MemberTable table = table();
        table.met(mOther, 0);
        table.left(mOther.incarnation());
        table.heard(mOther.incarnation(), 9, 1);
        assertEquals(stateAt(table, 1), MemberState.LEFT);
        assertEquals(table.farewells(4), List.of(mOther.incarnation().tag()));
        assertFalse(table.addresses().contains(mOther.address()));
    }

    @Test
    public void leastRecentlySentDigestIsSentFirst() {
        MemberTable table = table();
        PeerIdentity third = peer("third", 3, 3000);
        table.met(mOther, 0);
        table.met(third, 0);
        table.heard(mOther.incarnation(), 1, 0);
        assertEquals(table.news(1), List.of(digest(mOther, 1)));
        table.heard(mOther.incarnation(), 2, 0);
        assertEquals(table.news(1), List.of(digest(third, 0)));
        assertEquals(table.news(9), List.of(digest(mOther, 2), digest(third, 0)));
    }

    @Test
    public void suspectMemberIsNotGossiped() {
        MemberTable table = table();
        table.met(mOther, 0);
        table.tick(SECOND);
        assertTrue(table.news(9).isEmpty());
    }

    @Test
    public void heartbeatSequenceWrapsAround() {
        MemberTable table = table();
        table.met(mOther, 0);
        table.heard(mOther.incarnation(), 0x7FFF, 0);
        table.told(digest(mOther, 0x8001), SECOND);
        assertEquals(stateAt(table, 2 * SECOND - 1), MemberState.ALIVE);
        table.told(digest(mOther, 0x7FFF), 2 * SECOND - 1);
        assertEquals(stateAt(table, 2 * SECOND), MemberState.SUSPECT);
    }

    @Test
    public void introducedMemberIsSuspectUntilANewerDigest() {
        MemberTable table = table();
        table.told(digest(mOther, 5), 0);
        assertEquals(table.takeStrangers(), List.of(mOther.incarnation().tag()));
        table.introduced(mOther, 0);
        assertEquals(stateAt(table, 0), MemberState.SUSPECT);
        table.told(digest(mOther, 6), 0);
        assertEquals(stateAt(table, 0), MemberState.ALIVE);
        assertEquals(table.introduce(List.of(mOther.incarnation().tag())), List.of(mOther));
        assertTrue(table.takeStrangers().isEmpty());
    }

    @Test
    public void seedAddressTakesPrecedenceOverTheAdvertisedOne() {
        MemberTable table = table();
        InetSocketAddress proxy = new InetSocketAddress("127.0.0.1", 9000);
        table.learn(
                SeedSource.SETTINGS,
                List.of(new Seed(mOther.node(), proxy), new Seed(mSelf.node(), mSelf.address())));
        table.met(mOther, 0);
        PeerIdentity third = peer("third", 3, 3000);
        table.met(third, 0);
        assertEquals(table.addresses(), Set.of(proxy, third.address()));
    }

    private MemberTable table() {
        return new MemberTable(mSelf, SilenceLimits.of(AWAY));
    }

    private MemberState stateAt(MemberTable table, long now) {
        table.tick(now);
        return table.find(mOther.incarnation()).orElseThrow().state();
    }

    private static BeatNews digest(PeerIdentity peer, int sequence) {
        return new BeatNews(peer.incarnation().tag(), (short) sequence);
    }

    private static PeerIdentity peer(String node, long incarnation, int port) {
        return new PeerIdentity(
                NodeId.of(node),
                new Incarnation(incarnation),
                ZoneId.of("a"),
                new InetSocketAddress("127.0.0.1", port),
                Set.of(NodeRole.ENTRY));
    }
}
