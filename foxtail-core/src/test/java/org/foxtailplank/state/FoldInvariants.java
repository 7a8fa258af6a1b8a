package org.foxtailplank.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;

/** Checks the invariants of every state with full scans. */
final class FoldInvariants {
    private FoldInvariants() {}

    static void check(ExploredState state) {
        FoldCache.Folded folded = state.folded();
        checkPools(folded.state());
        checkNoDuplicates(folded);
        checkConfigurationChain(folded);
        checkEpochs(folded);
        checkStopsAreCounted(state, folded.state());
        for (String service : new String[] {"claims", "photos"}) {
            checkBudget(folded.state(), ServiceId.of(service));
        }
    }

    static void checkPools(FleetState state) {
        Map<VmId, PoolId> seen = new HashMap<>();
        for (PoolState pool : state.pools()) {
            for (VmState vm : state.vmsOf(pool.id())) {
                assertEquals(vm.pool(), pool.id());
                assertEquals(seen.put(vm.id(), pool.id()), null, vm.id() + " is in two pools");
            }
        }
        assertEquals(seen.size(), state.vms().size());
    }

    /** Asserts that each service keeps its budget after the loss of any one rack. */
    static void checkBudget(FleetState state, ServiceId service) {
        Map<RackId, Integer> byRack = new HashMap<>();
        int serving = 0;
        for (VmState vm : state.vms()) {
            Optional<ServiceId> of = state.pool(vm.pool()).flatMap(PoolState::service);
            if (vm.phase() == VmPhase.SERVING && of.equals(Optional.of(service))) {
                byRack.merge(vm.rack(), 1, Integer::sum);
                serving++;
            }
        }
        int worst = byRack.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(
                serving - worst >= state.minAvailable(service),
                service + ": " + serving + " serve, " + worst + " of them in one rack");
    }

    private static void checkNoDuplicates(FoldCache.Folded folded) {
        Set<RecordId> applied = new HashSet<>();
        for (int i = 0; i < folded.verdicts().size(); i++) {
            RecordId id = folded.records().get(i).id();
            assertTrue(!folded.verdicts().get(i).isApplied() || applied.add(id), id + " twice");
        }
    }

    /** Asserts that a controller's records took effect only while it held their epoch. */
    private static void checkEpochs(FoldCache.Folded folded) {
        long number = 0;
        Optional<NodeId> holder = Optional.empty();
        for (int i = 0; i < folded.verdicts().size(); i++) {
            LogRecord r = folded.records().get(i);
            if (folded.verdicts().get(i).isApplied() && r.change() instanceof EpochTaken taken) {
                assertEquals(taken.replaces(), number);
                number++;
                holder = Optional.of(taken.holder());
            } else if (folded.verdicts().get(i).isApplied() && r.epoch().isPresent()) {
                assertEquals(r.epoch().get().number(), number, r.id() + " is under an old epoch");
                assertEquals(Optional.of(r.writer()), holder);
            }
        }
    }

    /** Asserts that each applied configuration was based on the previous one. */
    private static void checkConfigurationChain(FoldCache.Folded folded) {
        long version = 0;
        for (int i = 0; i < folded.verdicts().size(); i++) {
            LogRecord r = folded.records().get(i);
            if (r.change() instanceof ConfigurationChange && folded.verdicts().get(i).isApplied()) {
                assertEquals(r.expects().get(ObjectKey.configuration()).longValue(), version);
                version = i + 1;
            }
        }
        assertEquals(folded.state().version(ObjectKey.configuration()), version);
    }

    /** Asserts that no VM that the platform has stopped counts as serving. */
    private static void checkStopsAreCounted(ExploredState explored, FleetState state) {
        for (VmState vm : state.vms()) {
            assertTrue(
                    !explored.isStopped(vm.id()) || vm.phase() != VmPhase.SERVING,
                    vm.id() + " is stopped and counted as serving");
        }
    }
}
