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

/** The real tables and plans of many nodes, on a fake clock. */
public class MembershipScaleTest {

    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final int BYTES_PER_SECOND = 2_500;
    private static final int BYTES_EACH = 40;
    private static final long TICK = HEARTBEAT.toNanos();

    /** Number of nodes, seed, and the seconds after which a dead node must be away everywhere. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            {9, 1, 3}, {9, 2, 3}, {27, 1, 8}, {27, 2, 8}, {99, 1, 13}, {99, 2, 13}
        };
    }

    @Test(dataProvider = "sizes")
    public void nobodyIsWronglyAwayAndADeadNodeIsSoonAwayEverywhere(
            int size, long seed, int seconds) {
        List<Node> nodes = new ArrayList<>();
        Random random = new Random(seed);
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i, random));
        }
        long now = 0;
        for (Node node : nodes) {
            nodes.stream().filter(n -> n != node).forEach(n -> node.mTable.met(n.mSelf, 0));
        }
        for (int tick = 0; tick < 120; tick++, now += TICK) {
            beat(nodes, nodes, now);
            assertEquals(away(nodes), 0, "wrongly away in tick " + tick);
        }
        Node dead = nodes.get(random.nextInt(size));
        List<Node> alive = new ArrayList<>(nodes);
        alive.remove(dead);
        int ticks = 0;
        for (; away(alive) < alive.size() && ticks < 200; ticks++, now += TICK) {
            beat(alive, nodes, now);
        }
        assertTrue(ticks * HEARTBEAT.toMillis() <= seconds * 1_000L, "ticks until away: " + ticks);
        for (int tick = 0; tick < 20; tick++, now += TICK) {
            beat(alive, nodes, now);
            assertEquals(away(alive), alive.size(), "the dead node alone stays away");
        }
    }

    private static void beat(List<Node> senders, List<Node> receivers, long now) {
        for (Node sender : senders) {
            sender.beat(receivers, now + sender.mPhase);
        }
    }

    private static long away(List<Node> nodes) {
        return nodes.stream().mapToLong(Node::away).sum();
    }

    /** One node: its table, its plan and when in each interval it sends. */
    private static final class Node {

        final PeerIdentity mSelf;
        final MemberTable mTable;
        final HeartbeatPlan<Integer> mPlan;
        final long mPhase;
        final int mIndex;
        long mBeat;

        Node(int index, Random random) {
            mIndex = index;
            mSelf =
                    new PeerIdentity(
                            NodeId.of("n" + index),
                            Incarnation.draw(random),
                            ZoneId.of("a"),
                            new InetSocketAddress("127.0.0.1", 1_000 + index),
                            Set.of(NodeRole.ENTRY));
            mTable = new MemberTable(mSelf, SilenceLimits.of(SILENCE));
            mPlan = new HeartbeatPlan<>(HEARTBEAT, BYTES_PER_SECOND, random);
            mPhase = (long) (random.nextDouble() * TICK);
        }

        void beat(List<Node> all, long now) {
            Set<Integer> peers = new LinkedHashSet<>();
            all.forEach(node -> peers.add(node.mIndex));
            peers.remove(mIndex);
            Duration spread = mPlan.spread(peers.size(), BYTES_EACH);
            mTable.allow(SilenceLimits.of(SILENCE).allowing(spread));
            mTable.tick(now);
            mBeat++;
            int news = mPlan.newsLimit(peers.size(), BYTES_EACH);
            for (int peer : mPlan.next(peers, BYTES_EACH)) {
                MemberTable table = all.get(peer).mTable;
                table.heard(mSelf.incarnation(), mBeat, now);
                mTable.news(news).forEach(n -> table.told(n, now));
            }
        }

        long away() {
            return mTable.members().stream()
                    .map(Member::state)
                    .filter(state -> state == MemberState.AWAY)
                    .count();
        }
    }
}
