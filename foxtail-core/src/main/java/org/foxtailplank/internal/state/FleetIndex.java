package org.foxtailplank.internal.state;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** VMs and pools; maintains the serving counts of each service that budgets depend on. */
public final class FleetIndex {
    private final Map<VmId, VmState> mVms = new HashMap<>();
    private final Map<PoolId, PoolState> mPools = new HashMap<>();
    private final Map<PoolId, Map<VmId, VmState>> mByPool = new HashMap<>();
    private final Map<ServiceId, RackCounts> mServing = new HashMap<>();
    private final Map<ServiceId, Integer> mMinAvailable = new HashMap<>();

    public Optional<VmState> vm(VmId id) {
        return Optional.ofNullable(mVms.get(id));
    }

    public Collection<VmState> vms() {
        return Collections.unmodifiableCollection(mVms.values());
    }

    public Collection<VmState> vmsOf(PoolId pool) {
        Map<VmId, VmState> vms = mByPool.get(pool);
        return vms == null
                ? Collections.emptyList()
                : Collections.unmodifiableCollection(vms.values());
    }

    public Optional<PoolState> pool(PoolId id) {
        return Optional.ofNullable(mPools.get(id));
    }

    public Collection<PoolState> pools() {
        return Collections.unmodifiableCollection(mPools.values());
    }

    public Map<ServiceId, Integer> minAvailable() {
        return Collections.unmodifiableMap(mMinAvailable);
    }

    public int minAvailable(ServiceId service) {
        return mMinAvailable.getOrDefault(service, 0);
    }

    public void setMinAvailable(ServiceId service, int instances) {
        mMinAvailable.put(service, instances);
    }

    public void dropMinAvailable(ServiceId service) {
        mMinAvailable.remove(service);
    }

    public Optional<ServiceId> serviceOf(PoolId pool) {
        PoolState p = mPools.get(pool);
        return p == null ? Optional.empty() : p.service();
    }

    /** Returns the serving instances of a service. */
    public int serving(ServiceId service) {
        RackCounts c = mServing.get(service);
        return c == null ? 0 : c.total();
    }

    /** Returns the instances of a service that still serve after the loss of its largest rack. */
    public int afterWorstRack(ServiceId service) {
        RackCounts c = mServing.get(service);
        return c == null ? 0 : c.afterWorstRack();
    }

    /**
     * Returns the instances that a service lacks if a serving VM is stopped and any one more rack
     * is lost; 0 if the stop is within the budget.
     */
    public int missingAfterStop(VmState vm) {
        Optional<ServiceId> service = serviceOf(vm.pool());
        if (service.isEmpty()) {
            return 0;
        }
        int min = minAvailable(service.get());
        RackCounts c = mServing.get(service.get());
        return min == 0 ? 0 : Math.max(0, min - c.afterStopAndWorstRack(vm.rack()));
    }

    /** Adds or replaces a pool; its service must not change while one of its VMs serves. */
    public void put(PoolState pool) {
        mPools.put(pool.id(), pool);
        mByPool.computeIfAbsent(pool.id(), id -> new HashMap<>());
    }

    public void remove(PoolId pool) {
        mPools.remove(pool);
        mByPool.remove(pool);
    }

    public void put(VmState vm) {
        VmState before = mVms.put(vm.id(), vm);
        if (before != null) {
            count(before, false);
            if (!before.pool().equals(vm.pool())) {
                mByPool.get(before.pool()).remove(vm.id());
            }
        }
        mByPool.get(vm.pool()).put(vm.id(), vm);
        count(vm, true);
    }

    public void remove(VmId id) {
        VmState before = mVms.remove(id);
        count(before, false);
        mByPool.get(before.pool()).remove(id);
    }

    private void count(VmState vm, boolean add) {
        Optional<ServiceId> service = serviceOf(vm.pool());
        if (vm.phase() != VmPhase.SERVING || service.isEmpty()) {
            return;
        }
        RackId rack = vm.rack();
        RackCounts c = mServing.computeIfAbsent(service.get(), s -> new RackCounts());
        if (add) {
            c.add(rack);
        } else {
            c.remove(rack);
        }
    }
}
