package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.admission.CapacitySource;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.admission.PoolRoom;
import org.foxtailplank.node.admission.ReportedPool;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests capacity reports between an owner and its followers, without a network. */
public class CapacityReporterTest {
    private static final long TOKEN = 7;
    private static final long INTERVAL_MS = 200;
    private static final int QUEUES = 4;
    private static final int ORGANISATIONS = 20;
    private static final long SEED = 11;

    private KnownCapacity mOwn;
    private CapacityReporter mReporter;
    private long mNowMs;

    /** A follower on its connection to the owner. */
    private final class Node {
        final KnownCapacity mKnown = new KnownCapacity();
        final CapacityFollower mFollower;
        final EmbeddedChannel mToOwner = new EmbeddedChannel();
        final EmbeddedChannel mFromOwner = new EmbeddedChannel();
        long mReceivedBytes;

        Node(boolean enabled) {
            mFollower = new CapacityFollower(mKnown, () -> enabled);
        }

        /** Receives a heartbeat, and the owner what this node sends in return. */
        void heartbeat() throws IOException {
            mFollower.heartbeatReceived(mToOwner);
            for (PeerFrame f : frames(mToOwner)) {
                mReporter.received((PeerFrame.AcceptedWork) f, mFromOwner);
            }
        }

        void receive() throws IOException {
            mFromOwner.flushOutbound();
            for (PeerFrame f : frames(mFromOwner)) {
                mFollower.received((PeerFrame.CapacityReport) f, mToOwner, 0);
            }
        }

        private List<PeerFrame> frames(EmbeddedChannel channel) throws IOException {
            List<PeerFrame> frames = new ArrayList<>();
            for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
                mReceivedBytes += channel == mFromOwner ? b.readableBytes() : 0;
                b.skipBytes(Integer.BYTES);
                frames.add(PeerFrame.decode(b));
                b.release();
            }
            return frames;
        }
    }

    @BeforeMethod
    public void setUp() {
        mOwn = new KnownCapacity();
        mReporter = new CapacityReporter(mOwn, NodeLog.silent(new FakeTime()));
        mNowMs = 1_000_000_000;
    }

    private List<Node> nodes(int count) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(true));
        }
        return nodes;
    }

    private void exchange(List<Node> nodes) throws IOException {
        for (Node n : nodes) {
            n.heartbeat();
        }
        mReporter.report(TOKEN, mNowMs);
        for (Node n : nodes) {
            n.receive();
        }
    }

    /** Pools whose every value changes with each measurement. */
    private static final class ChangingPools implements CapacitySource {
        private final Random mRandom = new Random(SEED);

        @Override
        public List<PoolRoom> measure(long nowMs) {
            List<PoolRoom> rooms = new ArrayList<>();
            for (int q = 0; q < QUEUES; q++) {
                Map<String, OrganisationCapacity> organisations = new HashMap<>();
                for (int o = 0; o < ORGANISATIONS; o++) {
                    organisations.put("organisation-" + o, organisation());
                }
                List<Joining> joining = new ArrayList<>();
                for (int v = 0; v < mRandom.nextInt(8); v++) {
                    joining.add(new Joining(mRandom.nextLong(2000), 64_000));
                }
                QueueCapacity capacity =
                        new QueueCapacity(
                                "service-" + q,
                                nowMs,
                                64_000L * (40 + mRandom.nextInt(20)),
                                mRandom.nextLong(64_000),
                                joining,
                                mRandom.nextLong(9_000_000_000L),
                                mRandom.nextLong(9_000_000_000L),
                                mRandom.nextLong(9_000_000_000L),
                                organisations);
                rooms.add(new PoolRoom(capacity, mRandom.nextLong(9_000_000_000L)));
            }
            return rooms;
        }

        private OrganisationCapacity organisation() {
            return new OrganisationCapacity(
                    mRandom.nextLong(500_000), mRandom.nextLong(900_000_000L));
        }
    }

    private void assertUnderOneKilobytePerSecond(int count) throws IOException {
        List<Node> nodes = nodes(count);
        mReporter.setSource(new ChangingPools());
        int seconds = 30;
        for (int i = 0; i < seconds * 1000 / INTERVAL_MS; i++) {
            mNowMs += INTERVAL_MS;
            exchange(nodes);
            if (i > 0) {
                for (int q = 0; q < QUEUES; q++) {
                    ReportedPool pool =
                            nodes.get(i % count).mKnown.pool("service-" + q, mNowMs).orElseThrow();
                    assertTrue(mNowMs - pool.capacity().measuredMs() <= INTERVAL_MS);
                }
            }
        }
        long most = nodes.stream().mapToLong(n -> n.mReceivedBytes / seconds).max().orElseThrow();
        System.out.println(count + " nodes: at most " + most + " bytes a second for each");
        assertTrue(most < 1000, most + " bytes a second");
    }

    @Test
    public void reportsToFortyOneNodesTakeUnderOneKilobytePerSecondForEach() throws IOException {
        assertUnderOneKilobytePerSecond(40);
    }

    @Test
    public void reportsToNinetyNineNodesTakeUnderOneKilobytePerSecondForEach() throws IOException {
        assertUnderOneKilobytePerSecond(98);
    }

    private void setRoom(long room) {
        mReporter.setSource(
                nowMs -> {
                    QueueCapacity capacity =
                            new QueueCapacity("s", nowMs, 4000, 0, List.of(), 0, 0, 0, Map.of());
                    return List.of(new PoolRoom(capacity, room));
                });
    }

    @Test
    public void theSharesOfAllNodesTogetherAreTheRoom() throws IOException {
        List<Node> nodes = nodes(40);
        setRoom(100_000_000);
        exchange(nodes);

        long sum = mOwn.pool("s", mNowMs).orElseThrow().share().work();
        for (Node n : nodes) {
            sum += n.mKnown.pool("s", mNowMs).orElseThrow().share().work();
        }
        assertTrue(sum <= 100_000_000 && sum > 98_000_000, "shares: " + sum);
    }

    @Test
    public void aNodeThatLeavesHasNoShareOfTheNextReport() throws IOException {
        List<Node> nodes = nodes(3);
        setRoom(1_000_000);
        exchange(nodes);
        nodes.subList(0, 2).forEach(n -> mReporter.removeFollower(n.mFromOwner));
        mNowMs += INTERVAL_MS;
        exchange(nodes.subList(2, 3));

        assertEquals(nodes.get(2).mKnown.pool("s", mNowMs).orElseThrow().part(), 491_520);
    }

    @Test
    public void theReportsOfAFormerOwnerAreIgnored() throws IOException {
        Node node = new Node(true);
        setRoom(1_000_000);
        node.mKnown.update(TOKEN + 1, List.of());
        exchange(List.of(node));

        assertTrue(node.mKnown.pool("s", mNowMs).isEmpty());
    }

    @Test
    public void aNodeWithoutAdmissionSendsNothing() throws IOException {
        Node node = new Node(false);
        node.mFollower.heartbeatReceived(node.mToOwner);

        assertNull(node.mToOwner.readOutbound());
    }

    @Test
    public void anOwnerWithoutAdmissionReportsNothing() throws IOException {
        Node node = new Node(true);
        exchange(List.of(node));

        assertEquals(node.mReceivedBytes, 0);
    }

    @Test
    public void aNodeThatDoesNotAskGetsNoReport() {
        // Followers of earlier versions would take it for a heartbeat.
        setRoom(1_000_000);
        mReporter.report(TOKEN, mNowMs);

        assertTrue(mOwn.pool("s", mNowMs).isPresent());
    }

    @Test
    public void aNewConnectionStartsWithACompleteReport() throws IOException {
        Node node = new Node(true);
        setRoom(1_000_000);
        exchange(List.of(node));
        mReporter.removeFollower(node.mFromOwner);
        EmbeddedChannel toOwner = new EmbeddedChannel();
        EmbeddedChannel fromOwner = new EmbeddedChannel();
        node.mFollower.heartbeatReceived(toOwner);
        ByteBuf asked = toOwner.readOutbound();
        assertNotNull(asked);
        mReporter.received(new PeerFrame.AcceptedWork(new byte[0]), fromOwner);
        mNowMs += INTERVAL_MS;
        mReporter.report(TOKEN, mNowMs);
        fromOwner.flushOutbound();
        ByteBuf bytes = fromOwner.readOutbound();
        bytes.skipBytes(Integer.BYTES);
        node.mFollower.received((PeerFrame.CapacityReport) PeerFrame.decode(bytes), toOwner, 0);

        assertEquals(node.mKnown.pool("s", mNowMs).orElseThrow().capacity().measuredMs(), mNowMs);
    }
}
