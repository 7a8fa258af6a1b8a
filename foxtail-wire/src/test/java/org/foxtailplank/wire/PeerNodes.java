package org.foxtailplank.wire;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.settings.PeerSettings;

/** Starts peer links on the loopback interface and waits for conditions on them. */
public final class PeerNodes implements AutoCloseable {

    public static final String KEY = "a key that all nodes of the test share";
    public static final Duration HEARTBEAT = Duration.ofMillis(50);
    public static final Duration SILENCE = Duration.ofMillis(1_000);

    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_INTERVAL_NANOS = 5_000_000;

    private final Random mRandom = new Random(17);
    private final List<PeerLink> mLinks = new ArrayList<>();
    private final Duration mHeartbeat;
    private final Duration mSilence;

    public PeerNodes() {
        this(HEARTBEAT, SILENCE);
    }

    public PeerNodes(Duration heartbeat, Duration silence) {
        mHeartbeat = heartbeat;
        mSilence = silence;
    }

    public PeerLink start(String node) throws PeerLinkException {
        return start(node, "a");
    }

    public PeerLink start(String node, String zone) throws PeerLinkException {
        return start(node, zone, KEY, new InetSocketAddress("127.0.0.1", 0));
    }

    public PeerLink start(String node, String zone, String key, InetSocketAddress bind)
            throws PeerLinkException {
        PeerSettings settings = new PeerSettings(key, mHeartbeat, mSilence);
        PeerLinkOptions options =
                new PeerLinkOptions(
                        NodeId.of(node),
                        ZoneId.of(zone),
                        Incarnation.random(mRandom),
                        Set.of(NodeRole.ENTRY),
                        bind,
                        settings,
                        PeerLinkLimits.defaults());
        PeerLink link = PeerLink.start(options);
        mLinks.add(link);
        return link;
    }

    /** Gives each node all nodes as seeds. */
    public static void joinAll(PeerLink... links) {
        for (PeerLink link : links) {
            join(link, links);
        }
    }

    public static void join(PeerLink link, PeerLink... others) {
        List<Seed> seeds = new ArrayList<>();
        for (PeerLink other : others) {
            seeds.add(new Seed(other.self().node(), other.self().address()));
        }
        link.setSeeds(SeedSource.SETTINGS, seeds);
    }

    public static boolean sees(PeerLink link, PeerLink other, MemberState state) {
        return link.members().stream()
                .anyMatch(
                        m ->
                                m.incarnation().equals(other.self().incarnation())
                                        && m.state() == state);
    }

    public static void awaitSees(PeerLink link, PeerLink other, MemberState state) {
        await(
                link.self().node() + " sees " + other.self().node() + " " + state,
                () -> sees(link, other, state));
    }

    public static void await(String description, BooleanSupplier condition) {
        await(description, AWAIT_TIMEOUT, condition);
    }

    public static void await(String description, Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        assertTrue(condition.getAsBoolean(), "condition not met in time: " + description);
    }

    /** Sleeps; for measurements only, since tests wait on conditions. */
    static void pause(Duration time) {
        long end = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }

    @Override
    public void close() {
        mLinks.forEach(PeerLink::close);
    }
}
