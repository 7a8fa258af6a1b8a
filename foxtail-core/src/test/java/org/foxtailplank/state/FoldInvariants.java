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

/** What must hold in every state, worked out by plain scans. */
final class FoldInvariants {
    private FoldInvariants() {}

    static void check(ExploredWorld world) {
        FoldCache.Folded folded = world.folded();
        checkPools(folded.state());
        checkNothingTwice(folded);
        checkConfigurationChain(folded);
        checkEpochs(folded);
        checkStopsArePaidFor(world, folded.state());
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

    /** Without unplanned failures, what serves outlives any one rack within the budget. */
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

    private static void checkNothingTwice(FoldCache.Folded folded) {
        Set<RecordId> applied = new HashSet<>();
        for (int i = 0; i < folded.verdicts().size(); i++) {
            RecordId id = folded.records().get(i).id();
            assertTrue(!folded.verdicts().get(i).isApplied() || applied.add(id), id + " twice");
        }
    }

    /** What a controller wrote took effect only while it held the epoch that it wrote under. */
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

    /** Each configuration that took effect was made from the one before it. */
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

    /** Whatever the platform has stopped, by whichever controller and how late, is paid for. */
    private static void checkStopsArePaidFor(ExploredWorld world, FleetState state) {
        for (VmState vm : state.vms()) {
            assertTrue(
                    !world.isStopped(vm.id()) || vm.phase() != VmPhase.SERVING,
                    vm.id() + " is stopped and counted as serving");
        }
    }
}
