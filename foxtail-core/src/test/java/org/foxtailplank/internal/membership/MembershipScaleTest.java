package org.foxtailplank.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.PeerIdentity;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulates failure detection in clusters of up to 99 nodes with a fake clock. */
public class MembershipScaleTest {

    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final int BYTES_PER_SECOND = 2_500;
    private static final int BYTES_EACH = 40;
    private static final long TICK = HEARTBEAT.toNanos();

    /** Number of nodes, seed, and seconds within which all nodes must detect a failed one. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            {9, 1, 3}, {9, 2, 3}, {27, 1, 8}, {27, 2, 8}, {99, 1, 13}, {99, 2, 13}
        };
    }

    @Test(dataProvider = "sizes")
    public void detectsAFailedNodeEverywhereWithoutFalsePositives(
            int size, long seed, int maxSeconds) {
        List<Node> nodes = new ArrayList<>();
        Random random = new Random(seed);
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i, random));
        }
        long now = 0;
        for (Node node : nodes) {
            nodes.stream()
                    .filter(n -> n != node)
                    .forEach(n -> node.mTable.authenticated(n.mSelf, 0));
        }
        for (int tick = 0; tick < 120; tick++, now += TICK) {
            sendHeartbeats(nodes, nodes, now);
            assertEquals(countAway(nodes), 0, "false positives in tick " + tick);
        }
        Node failed = nodes.get(random.nextInt(size));
        List<Node> live = new ArrayList<>(nodes);
        live.remove(failed);
        int ticks = 0;
        for (; countAway(live) < live.size() && ticks < 200; ticks++, now += TICK) {
            sendHeartbeats(live, nodes, now);
        }
        assertTrue(
                ticks * HEARTBEAT.toMillis() <= maxSeconds * 1_000L,
                "ticks until detection: " + ticks);
        for (int tick = 0; tick < 20; tick++, now += TICK) {
            sendHeartbeats(live, nodes, now);
            assertEquals(countAway(live), live.size(), "only the failed node is away");
        }
    }

    private static void sendHeartbeats(List<Node> senders, List<Node> receivers, long now) {
        for (Node sender : senders) {
            sender.sendHeartbeat(receivers, now + sender.mPhase);
        }
    }

    private static long countAway(List<Node> nodes) {
        return nodes.stream().mapToLong(Node::countAway).sum();
    }

    /** A node with its member table, heartbeat plan and phase within the heartbeat interval. */
    private static final class Node {

        final PeerIdentity mSelf;
        final MemberTable mTable;
        final HeartbeatPlan<Integer> mPlan;
        final long mPhase;
        final int mIndex;
        long mSequence;

        Node(int index, Random random) {
            mIndex = index;
            mSelf =
                    new PeerIdentity(
                            NodeId.of("n" + index),
                            Incarnation.random(random),
                            ZoneId.of("a"),
                            new InetSocketAddress("127.0.0.1", 1_000 + index),
                            Set.of(NodeRole.ENTRY));
            mTable = new MemberTable(mSelf, SilenceLimits.of(SILENCE));
            mPlan = new HeartbeatPlan<>(HEARTBEAT, BYTES_PER_SECOND, random);
            mPhase = (long) (random.nextDouble() * TICK);
        }

        void sendHeartbeat(List<Node> all, long now) {
            Set<Integer> peers = new LinkedHashSet<>();
            all.forEach(node -> peers.add(node.mIndex));
            peers.remove(mIndex);
            Duration delay = mPlan.propagationDelay(peers.size(), BYTES_EACH);
            mTable.setSilenceLimits(SilenceLimits.of(SILENCE).plusPropagationDelay(delay));
            mTable.tick(now);
            mSequence++;
            int digests = mPlan.digestLimit(peers.size(), BYTES_EACH);
            for (int peer : mPlan.nextPeers(peers, BYTES_EACH)) {
                MemberTable table = all.get(peer).mTable;
                table.heartbeatReceived(mSelf.incarnation(), mSequence, now);
                mTable.nextDigests(digests).forEach(n -> table.digestReceived(n, now));
            }
        }

        long countAway() {
            return mTable.members().stream()
                    .map(Member::state)
                    .filter(state -> state == MemberState.AWAY)
                    .count();
        }
    }
}
