package org.foxtailplank.platform.internal.fleet;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.platform.FollowMode;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.state.TeamQuotaChanged;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.wire.SnapshotCodec;

/** Processes that follow one log in a test, and what they write. */
final class FleetNodes {
    static final TeamId TEAM = TeamId.of("adjusters");

    private static final ChangeAuthor AUTHOR = new ChangeAuthor("ivana", "test");
    private static final long WAIT_SECONDS = 30;
    private static final Duration RESTORE_DELAY = Duration.ofMillis(80);
    private static final Duration SNAPSHOTS_NEVER = Duration.ofDays(365);

    private final List<FollowedFleetLog> mNodes = new ArrayList<>();
    private int mIds;

    /** A process that stores no snapshot of its own accord. */
    FollowedFleetLog follow(PlatformLog log) {
        return follow(log, SNAPSHOTS_NEVER);
    }

    FollowedFleetLog follow(PlatformLog log, Duration retention) {
        FollowOptions options =
                new FollowOptions(
                        "node-" + mNodes.size(),
                        Duration.ofSeconds(WAIT_SECONDS),
                        retention,
                        Long.MAX_VALUE,
                        RESTORE_DELAY);
        FollowedFleetLog node = FollowedFleetLog.start(log, options);
        mNodes.add(node);
        return node;
    }

    void closeAll() {
        mNodes.forEach(FollowedFleetLog::close);
        mNodes.clear();
    }

    LogRecord record(Change change, Map<ObjectKey, Long> expects) {
        return new LogRecord(
                RecordId.of("r" + ++mIds), NodeId.of("test"), Optional.empty(), expects, change);
    }

    LogRecord quota(double quota) {
        return record(new TeamQuotaChanged(TEAM, quota, AUTHOR), Map.of());
    }

    LogRecord publish(String base, long version) {
        FleetTopology nothing = new FleetTopology(Map.of(), Map.of(), Map.of());
        return record(
                new ConfigurationPublished(base, Map.of(), nothing, AUTHOR),
                Map.of(ObjectKey.configuration(), version));
    }

    /** Writes records that must take effect. */
    void write(FollowedFleetLog node, LogRecord... records) throws Exception {
        for (LogRecord r : records) {
            Verdict v = get(node.submit(r));
            assertTrue(v.isApplied(), v.toString());
        }
    }

    /** Stores a snapshot of a node's state now. */
    void store(PlatformLog log, FollowedFleetLog node) throws Exception {
        byte[] bytes = get(node.encodedState()).orElseThrow();
        get(new SnapshotStore(log).write("stored-" + ++mIds, SnapshotCodec.decode(bytes), 0));
    }

    static double quotaAt(FollowedFleetLog node) throws Exception {
        return get(node.read(v -> v.teamQuota(TEAM))).orElse(0);
    }

    static String baseAt(FollowedFleetLog node) throws Exception {
        return get(node.read(v -> v.configuration().map(c -> c.base()).orElse("")));
    }

    static long versionAt(FollowedFleetLog node) throws Exception {
        return get(node.read(v -> v.version(ObjectKey.configuration())));
    }

    static <T> T get(CompletionStage<T> stage)
            throws InterruptedException, ExecutionException, TimeoutException {
        return stage.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    static void awaitMode(FollowedFleetLog node, FollowMode mode) throws Exception {
        await(() -> node.mode() == mode, "mode " + mode);
    }

    static void awaitPosition(FollowedFleetLog node, StatePosition position) throws Exception {
        await(() -> node.position().compareTo(position) >= 0, "position " + position);
    }

    /** Waits until a condition holds, looking at it again and again. */
    static void await(BooleanSupplier condition, String what) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - end < 0, "not reached: " + what);
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }
}
