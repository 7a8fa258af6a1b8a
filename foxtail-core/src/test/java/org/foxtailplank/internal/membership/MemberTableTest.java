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
        table.authenticated(mOther, 0);
        assertEquals(stateAt(table, SECOND - 1), MemberState.ALIVE);
        assertEquals(stateAt(table, SECOND), MemberState.SUSPECT);
        assertEquals(stateAt(table, 2 * SECOND), MemberState.AWAY);
        table.tick(20 * SECOND);
        assertTrue(table.members().isEmpty());
    }

    @Test
    public void heartbeatRestoresAMemberThatWasAway() {
        MemberTable table = table();
        table.authenticated(mOther, 0);
        table.tick(3 * SECOND);
        table.heartbeatReceived(mOther.incarnation(), 7, 3 * SECOND);
        assertEquals(stateAt(table, 3 * SECOND), MemberState.ALIVE);
    }

    @Test
    public void eachStateChangeIsReportedOnce() {
        MemberTable table = table();
        table.authenticated(mOther, 0);
        table.tick(2 * SECOND);
        table.tick(3 * SECOND);
        List<MemberState> states = table.drainChanges().stream().map(Member::state).toList();
        assertEquals(states, List.of(MemberState.ALIVE, MemberState.AWAY));
        assertTrue(table.drainChanges().isEmpty());
    }

    /** Guards against nodes that keep a failed member alive by gossiping its last heartbeat. */
    @Test
    public void knownDigestIsNoSignOfLife() {
        MemberTable table = table();
        table.authenticated(mOther, 0);
        table.heartbeatReceived(mOther.incarnation(), 7, 0);
        table.digestReceived(digest(mOther, 7), SECOND);
        assertEquals(stateAt(table, 2 * SECOND), MemberState.AWAY);
    }

    @Test
    public void newerDigestKeepsAMemberAliveWithoutDirectHeartbeats() {
        MemberTable table = table();
        table.authenticated(mOther, 0);
        table.digestReceived(digest(mOther, 1), SECOND);
        assertEquals(stateAt(table, 2 * SECOND - 1), MemberState.ALIVE);
    }

    /** Guards against late gossip that revives the predecessor of a replaced VM. */
    @Test
    public void replacedVmWithTheSameAddressIsANewMember() {
        MemberTable table = table();
        PeerIdentity successor = peer("other", 3, 2000);
        table.authenticatedAt(mOther, mOther.address(), 0);
        table.authenticatedAt(successor, successor.address(), 1);
        table.digestReceived(digest(mOther, 99), 2);
        assertEquals(table.find(mOther.node()).orElseThrow().incarnation().value(), 3);
        assertEquals(table.find(mOther.incarnation()).orElseThrow().state(), MemberState.AWAY);
    }

    @Test
    public void lateHeartbeatDoesNotReviveADepartedMember() {
        MemberTable table = table();
        table.authenticated(mOther, 0);
        table.memberLeft(mOther.incarnation());
        table.heartbeatReceived(mOther.incarnation(), 9, 1);
        assertEquals(stateAt(table, 1), MemberState.LEFT);
        assertEquals(table.nextDepartures(4), List.of(mOther.incarnation().tag()));
        assertFalse(table.addresses().contains(mOther.address()));
    }

    @Test
    public void leastRecentlySentDigestIsSentFirst() {
        MemberTable table = table();
        PeerIdentity third = peer("third", 3, 3000);
        table.authenticated(mOther, 0);
        table.authenticated(third, 0);
        table.heartbeatReceived(mOther.incarnation(), 1, 0);
        assertEquals(table.nextDigests(1), List.of(digest(mOther, 1)));
        table.heartbeatReceived(mOther.incarnation(), 2, 0);
        assertEquals(table.nextDigests(1), List.of(digest(third, 0)));
        assertEquals(table.nextDigests(9), List.of(digest(mOther, 2), digest(third, 0)));
    }

    @Test
    public void suspectMemberIsNotGossiped() {
        MemberTable table = table();
        table.authenticated(mOther, 0);
        table.tick(SECOND);
        assertTrue(table.nextDigests(9).isEmpty());
    }

    @Test
    public void heartbeatSequenceWrapsAround() {
        MemberTable table = table();
        table.authenticated(mOther, 0);
        table.heartbeatReceived(mOther.incarnation(), 0x7FFF, 0);
        table.digestReceived(digest(mOther, 0x8001), SECOND);
        assertEquals(stateAt(table, 2 * SECOND - 1), MemberState.ALIVE);
        table.digestReceived(digest(mOther, 0x7FFF), 2 * SECOND - 1);
        assertEquals(stateAt(table, 2 * SECOND), MemberState.SUSPECT);
    }

    @Test
    public void introducedMemberIsSuspectUntilANewerDigest() {
        MemberTable table = table();
        table.digestReceived(digest(mOther, 5), 0);
        assertEquals(table.drainUnknownTags(), List.of(mOther.incarnation().tag()));
        table.introduced(mOther, 0);
        assertEquals(stateAt(table, 0), MemberState.SUSPECT);
        table.digestReceived(digest(mOther, 6), 0);
        assertEquals(stateAt(table, 0), MemberState.ALIVE);
        assertEquals(table.identitiesOf(List.of(mOther.incarnation().tag())), List.of(mOther));
        assertTrue(table.drainUnknownTags().isEmpty());
    }

    @Test
    public void seedAddressTakesPrecedenceOverTheAdvertisedOne() {
        MemberTable table = table();
        InetSocketAddress proxy = new InetSocketAddress("127.0.0.1", 9000);
        table.setSeeds(
                SeedSource.SETTINGS,
                List.of(new Seed(mOther.node(), proxy), new Seed(mSelf.node(), mSelf.address())));
        table.authenticated(mOther, 0);
        PeerIdentity third = peer("third", 3, 3000);
        table.authenticated(third, 0);
        assertEquals(table.addresses(), Set.of(proxy, third.address()));
    }

    private MemberTable table() {
        return new MemberTable(mSelf, SilenceLimits.of(AWAY));
    }

    private MemberState stateAt(MemberTable table, long now) {
        table.tick(now);
        return table.find(mOther.incarnation()).orElseThrow().state();
    }

    private static HeartbeatDigest digest(PeerIdentity peer, int sequence) {
        return new HeartbeatDigest(peer.incarnation().tag(), (short) sequence);
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
