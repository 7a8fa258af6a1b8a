package org.foxtailplank.platform.internal.fleet;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.foxtailplank.wire.StateExchangeLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Time from accepted to in force with one of three zones cut off from the platform, and what the
 * peers hand each other for it: without exchange, by the rolled-up state alone, and by the tail.
 *
 * <p>Not part of the build; {@code mvn -pl foxtail-platform -am test
 * -Dtest=ConfigurationPropagationMeasurement -Dsurefire.failIfNoSpecifiedTests=false} runs it.
 */
public class ConfigurationPropagationMeasurement {

    private static final int NODES = 9;
    private static final int ZONES = 3;
    private static final Duration GIVE_UP = Duration.ofSeconds(10);

    private static final StateExchangeLimits TAIL = StateExchangeLimits.defaults();
    private static final StateExchangeLimits STATE_ALONE =
            new StateExchangeLimits(
                    TAIL.grace(),
                    TAIL.timeout(),
                    0,
                    TAIL.chunkBytes(),
                    TAIL.maxStateBytes(),
                    Duration.ofMillis(200));

    /** Way, VMs, pools, changes. */
    @DataProvider
    public Object[][] ways() {
        return new Object[][] {
            {"no exchange", Optional.empty(), 35, 5, 2},
            {"state alone", Optional.of(STATE_ALONE), 35, 5, 30},
            {"tail, else state", Optional.of(TAIL), 35, 5, 30},
            {"state alone", Optional.of(STATE_ALONE), 15_000, 83, 10},
            {"tail, else state", Optional.of(TAIL), 15_000, 83, 30},
        };
    }

    @Test(dataProvider = "ways")
    public void timeToBeInForce(
            String way, Optional<StateExchangeLimits> limits, int vms, int pools, int changes)
            throws Exception {
        MemoryPlatformLog log = new MemoryPlatformLog();
        List<ExchangingNode> nodes = new ArrayList<>();
        try {
            for (int i = 0; i < NODES; i++) {
                nodes.add(ExchangingNode.start("n" + i, "z" + i % ZONES, log, false, limits));
            }
            ExchangingNode.meet(nodes);
            ExchangingNode operator = nodes.get(0);
            operator.publish("c0", Configurations.whole(vms, pools));
            await(() -> nodes.stream().allMatch(n -> n.version() == 1 && n.peers() == NODES - 1));
            List<ExchangingNode> cut =
                    nodes.stream().filter(n -> nodes.indexOf(n) % ZONES == 2).toList();
            cut.forEach(n -> n.cutFromPlatform(true));
            double[] millis = new double[changes];
            for (int i = 0; i < changes; i++) {
                long version = i + 2;
                assertTrue(operator.publish("c" + version, Configurations.change(i)).isApplied());
                long accepted = System.nanoTime();
                boolean everywhere =
                        await(() -> nodes.stream().allMatch(n -> n.version() >= version));
                long last = nodes.stream().mapToLong(ExchangingNode::inForceAt).max().orElse(0);
                millis[i] =
                        everywhere ? Math.max(0, last - accepted) / 1e6 : Double.POSITIVE_INFINITY;
            }
            report(way, vms, limits.isPresent() ? cut : List.of(), millis);
        } finally {
            nodes.forEach(ExchangingNode::close);
        }
    }

    private static void report(String way, int vms, List<ExchangingNode> cut, double[] millis) {
        Arrays.sort(millis);
        long bytes = cut.stream().mapToLong(n -> n.counts().bytesReceived()).sum();
        long states = cut.stream().mapToLong(n -> n.counts().snapshotsReceived()).sum();
        long failures = cut.stream().mapToLong(n -> n.counts().failures()).sum();
        System.out.printf(
                "%n%s, %d VMs: in force everywhere after ms p50 %.0f max %.0f (n=%d); bytes taken"
                        + " a change and node %d; whole states taken %d; failures %d%n",
                way,
                vms,
                millis[millis.length / 2],
                millis[millis.length - 1],
                millis.length,
                cut.isEmpty() ? 0 : bytes / cut.size() / millis.length,
                states,
                failures);
    }

    private static boolean await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + GIVE_UP.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(1_000_000);
        }
        return condition.getAsBoolean();
    }
}
