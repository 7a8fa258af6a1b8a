package org.foxtailplank.platform.internal.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.foxtailplank.platform.FollowMode;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.StateExchangeLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An accepted configuration would not be in force where the platform cannot be reached. A zone or a
 * starting node is cut off from the platform, but not from its peers.
 */
public class ZoneCutOffTest {

    private static final long PATIENCE_NANOS = Duration.ofSeconds(20).toNanos();
    private static final Optional<StateExchangeLimits> USUAL =
            Optional.of(StateExchangeLimits.defaults());

    private final List<ExchangingNode> mNodes = new ArrayList<>();
    private MemoryPlatformLog mLog;

    @BeforeMethod
    public void begin() {
        mLog = new MemoryPlatformLog();
    }

    @AfterMethod
    public void end() {
        mNodes.forEach(ExchangingNode::close);
        mNodes.clear();
    }

    @Test
    public void aZoneCutOffFromThePlatformGetsTheConfigurationFromItsPeers() throws Exception {
        ExchangingNode reached = start("a1", "a", false);
        List<ExchangingNode> cut = List.of(start("b1", "b", false), start("b2", "b", false));
        ExchangingNode.meet(mNodes);
        assertTrue(reached.publish("c1", Configurations.whole(8, 2)).isApplied());
        awaitAll(1);
        cut.forEach(n -> n.cutFromPlatform(true));
        assertTrue(reached.publish("c2", Configurations.change(2)).isApplied());
        awaitAll(2);
        assertEquals(cut.get(0).counts().snapshotsReceived(), 0, "the tail was enough");
    }

    @Test
    public void aNodeThatStartsWhileThePlatformIsAwayStartsFromItsPeers() throws Exception {
        ExchangingNode running = start("a1", "a", false);
        assertTrue(running.publish("c1", Configurations.whole(8, 2)).isApplied());
        awaitAll(1);
        assertTrue(running.publish("c2", Configurations.change(2)).isApplied());
        running.cutFromPlatform(true);
        ExchangingNode starting = start("a2", "a", true);
        ExchangingNode.meet(mNodes);
        awaitAll(2);
        assertEquals(starting.fleet().position(), running.fleet().position());
    }

    @Test
    public void aNodeThatStartsWithNeitherKnowsNothingAndSaysSo() throws Exception {
        ExchangingNode alone = start("a1", "a", true);
        ExchangingNode other = start("a2", "a", true);
        ExchangingNode.meet(mNodes);
        await("they meet", () -> alone.peers() == 1 && other.peers() == 1);
        assertEquals(alone.fleet().mode(), FollowMode.STARTING);
        assertEquals(alone.fleet().position(), StatePosition.NOTHING);
        assertEquals(alone.version(), 0);
    }

    /**
     * A zone would fall back to an old configuration. It has the newest one from its peers; then it
     * reaches the platform again, and nodes that are older than itself.
     */
    @Test
    public void aZoneThatComesBackNeverGoesBackToAnOlderConfiguration() throws Exception {
        ExchangingNode reached = start("a1", "a", false);
        ExchangingNode cut = start("b1", "b", false);
        ExchangingNode.meet(mNodes);
        assertTrue(reached.publish("c1", Configurations.whole(8, 2)).isApplied());
        awaitAll(1);
        cut.cutFromPlatform(true);
        List<Long> seen = new ArrayList<>();
        cut.fleet().onChange(() -> seen.add(cut.fleet().position().nextOffset()));
        assertTrue(reached.publish("c2", Configurations.change(2)).isApplied());
        awaitAll(2);
        ExchangingNode old = start("a0", "a", true);
        ExchangingNode.meet(mNodes);
        cut.cutFromPlatform(false);
        assertTrue(reached.publish("c3", Configurations.change(3)).isApplied());
        awaitAll(3);
        assertEquals(old.version(), cut.version());
        assertEquals(seen, seen.stream().sorted().toList());
    }

    private ExchangingNode start(String node, String zone, boolean cut) throws Exception {
        ExchangingNode started = ExchangingNode.start(node, zone, mLog, cut, USUAL);
        mNodes.add(started);
        return started;
    }

    private void awaitAll(long version) {
        await(
                "version " + version + " everywhere",
                () -> mNodes.stream().allMatch(n -> n.version() == version));
    }

    private static void await(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + PATIENCE_NANOS;
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(1_000_000);
        }
        assertTrue(condition.getAsBoolean(), "never came: " + what);
    }
}
