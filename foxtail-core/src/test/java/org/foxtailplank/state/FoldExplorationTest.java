package org.foxtailplank.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.id.VmId;
import org.testng.annotations.Test;

/**
 * Checks the invariants of the fold over all orders of concurrent writers, pauses, lost answers and
 * duplicate records up to a depth, and over longer random ones.
 */
public class FoldExplorationTest {
    private static final int DEPTH = Integer.getInteger("foxtail.exploration.depth", 6);
    private static final long SEED = 20261202;
    private static final int WALKS = 300;
    private static final int WALK_LENGTH = 60;

    @Test
    public void holdsInEveryOrderToADepth() {
        long states = explore("a fleet that serves", start(), DEPTH);
        assertTrue(states > 10_000, "the exploration is too small: " + states);
    }

    /** Guards against a duplicate confirmation that arrives after the VM's next action. */
    @Test
    public void holdsInEveryOrderAfterAStop() {
        long states =
                explore("a stop confirmed twice", start().withStopConfirmedTwice(), DEPTH - 1);
        assertTrue(states > 10_000, "the exploration is too small: " + states);
    }

    private static long explore(String from, ExploredState start, int depth) {
        Set<String> seen = new HashSet<>();
        List<ExploredState> frontier = List.of(start);
        long steps = 0;
        for (int d = 1; d <= depth; d++) {
            List<ExploredState> next = new ArrayList<>();
            for (ExploredState w : frontier) {
                for (ExploredState s : w.successors()) {
                    steps++;
                    if (seen.add(s.key())) {
                        FoldInvariants.check(s);
                        next.add(s);
                    }
                }
            }
            frontier = d < depth ? next : List.of();
        }
        System.out.println(
                "fold exploration: from "
                        + from
                        + ", depth "
                        + depth
                        + ", "
                        + seen.size()
                        + " states, "
                        + steps
                        + " steps");
        return seen.size();
    }

    @Test
    public void holdsInLongRandomOrders() {
        Random random = new Random(SEED);
        int longest = 0;
        for (int walk = 0; walk < WALKS; walk++) {
            ExploredState w = start();
            for (int i = 0; i < WALK_LENGTH; i++) {
                List<ExploredState> next = w.successors();
                w = next.get(random.nextInt(next.size()));
                FoldInvariants.check(w);
            }
            longest = Math.max(longest, w.logLength());
            checkSnapshots(w.folded().records());
        }
        System.out.println(
                "fold exploration: "
                        + WALKS
                        + " random walks of "
                        + WALK_LENGTH
                        + " steps, seed "
                        + SEED
                        + ", longest log "
                        + longest);
    }

    /** Asserts that folding from any snapshot ends in the same state. */
    private static void checkSnapshots(List<LogRecord> log) {
        FleetState whole = new FleetState();
        List<FleetSnapshot> snapshots = new ArrayList<>();
        for (LogRecord r : log) {
            snapshots.add(whole.snapshot().orElseThrow());
            whole.apply(whole.nextOffset(), r);
        }
        for (int from = 0; from < log.size(); from += 5) {
            FleetState part = FleetState.of(snapshots.get(from));
            log.subList(from, log.size()).forEach(r -> part.apply(part.nextOffset(), r));
            assertEquals(contents(part), contents(whole));
        }
    }

    private static Object contents(FleetState state) {
        FleetSnapshot s = state.snapshot().orElseThrow();
        return List.of(
                s.nextOffset(),
                s.window(),
                s.configuration(),
                s.poolDefinitions(),
                s.minAvailable(),
                Set.copyOf(s.pools()),
                Set.copyOf(s.vms()),
                Set.copyOf(s.epochs()));
    }

    private static ExploredState start() {
        List<LogRecord> log = new ArrayList<>();
        FoldDriver d = new FoldDriver();
        FleetTopology topology = FoldDriver.topology(4, 2);
        Change first = new ConfigurationPublished("{}", Map.of(), topology, FoldDriver.AUTHOR);
        log.add(d.record(first, FoldDriver.configuration(0)));
        d.write(log.get(0));
        for (VmId vm : topology.vms().keySet().stream().sorted().toList()) {
            LogRecord r = d.record(new VmObserved(vm, 0, VmHealth.UP, FoldDriver.AUTHOR));
            log.add(r);
            d.write(r);
        }
        log.add(d.record(new EpochTaken(FoldDriver.ZONE, 0, ExploredState.node(0))));
        return ExploredState.start(log);
    }
}
