package org.foxtailplank.wire;

import static org.testng.Assert.assertEquals;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Measures the cost of membership per node for several cluster sizes, with all nodes in this JVM.
 *
 * <p>Not part of the build; {@code mvn -pl foxtail-wire -am test -Dtest=PeerCostMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false} runs it.
 */
public class PeerCostMeasurement {

    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final Duration WARM_UP_TIME = Duration.ofSeconds(10);
    private static final Duration MEASURED_TIME = Duration.ofSeconds(30);

    /** IP and TCP headers of a message and of its acknowledgement. */
    private static final int HEADER_BYTES_PER_MESSAGE = 104;

    private static final int BUSY_INSTANCES = 40;

    /** Number of nodes, and number of loaded instances in each heartbeat. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{9, 0}, {27, 0}, {99, 0}, {9, BUSY_INSTANCES}, {99, BUSY_INSTANCES}};
    }

    @Test(dataProvider = "sizes")
    public void cost(int size, int busyInstances) throws PeerLinkException {
        long heapBefore = usedHeap();
        try (PeerNodes nodes = new PeerNodes(HEARTBEAT, SILENCE)) {
            List<PeerLink> links = start(nodes, size, busyInstances);
            PeerNodes.await(
                    "all nodes see each other", Duration.ofMinutes(2), () -> allAlive(links));
            PeerNodes.pause(WARM_UP_TIME);
            PeerCounts before = sum(links);
            long cpuBefore = cpuNanos();
            long startedAt = System.nanoTime();
            long wronglyAway = maxAway(links, MEASURED_TIME);
            double seconds = (System.nanoTime() - startedAt) / 1e9;
            PeerCounts after = sum(links);
            double bytes = (after.bytesOut() - before.bytesOut()) / seconds / size;
            double messages = (after.messagesOut() - before.messagesOut()) / seconds / size;
            double cpu = (cpuNanos() - cpuBefore) / 1e9 / seconds / size;
            long heap = (usedHeap() - heapBefore) / size;
            System.out.printf(
                    "%nnodes=%d instances=%d: %.0f B/s out, %.1f messages/s out, %.0f B/s with"
                        + " headers, %.2f%% of a core, %d KB heap a node; wrongly away %d; connects"
                        + " %d%n",
                    size,
                    busyInstances,
                    bytes,
                    messages,
                    bytes + messages * HEADER_BYTES_PER_MESSAGE,
                    cpu * 100,
                    heap / 1_024,
                    wronglyAway,
                    after.connects() - before.connects());
            assertEquals(wronglyAway, 0);
        }
    }

    private static List<PeerLink> start(PeerNodes nodes, int size, int busyInstances)
            throws PeerLinkException {
        List<PeerLink> links = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            links.add(nodes.start("n" + i, "z" + i % 3));
        }
        List<Seed> seeds =
                links.stream().map(l -> new Seed(l.self().node(), l.self().address())).toList();
        Map<String, Integer> load = new HashMap<>();
        for (int i = 0; i < busyInstances; i++) {
            load.put("vm-" + i, 1 + i % 8);
        }
        links.forEach(link -> link.report(LoadSummary.of(load)));
        links.forEach(link -> link.setSeeds(SeedSource.SETTINGS, seeds));
        return links;
    }

    /** Returns the maximum number of members that were wrongly seen as away at one time. */
    private static long maxAway(List<PeerLink> links, Duration time) {
        long end = System.nanoTime() + time.toNanos();
        long most = 0;
        while (System.nanoTime() < end) {
            PeerNodes.pause(Duration.ofMillis(100));
            most = Math.max(most, links.stream().mapToLong(PeerCostMeasurement::countAway).sum());
        }
        return most;
    }

    private static long countAway(PeerLink link) {
        return link.members().stream().filter(m -> m.state() == MemberState.AWAY).count();
    }

    private static boolean allAlive(List<PeerLink> links) {
        return links.stream()
                .allMatch(
                        link ->
                                link.members().stream()
                                                .filter(m -> m.state() == MemberState.ALIVE)
                                                .count()
                                        == links.size() - 1);
    }

    private static PeerCounts sum(List<PeerLink> links) {
        return links.stream()
                .map(PeerLink::counts)
                .reduce(
                        (a, b) ->
                                new PeerCounts(
                                        a.bytesOut() + b.bytesOut(),
                                        a.bytesIn() + b.bytesIn(),
                                        a.messagesOut() + b.messagesOut(),
                                        a.messagesIn() + b.messagesIn(),
                                        0,
                                        0,
                                        a.connects() + b.connects(),
                                        Map.of()))
                .orElseThrow();
    }

    private static long cpuNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long nanos = 0;
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().startsWith("foxtail-peer")) {
                nanos += Math.max(0, threads.getThreadCpuTime(thread.getId()));
            }
        }
        return nanos;
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
