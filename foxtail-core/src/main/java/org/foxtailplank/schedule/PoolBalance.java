package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.PoolService;
import org.foxtailplank.port.VmActions.VmPhase;

/**
 * Moves VMs to the pools whose queues are long, and idle ones to the standby pool.
 *
 * <p>Answers queues whose demand rises by turns: each asks for some seconds several times what its
 * pool holds while the others are nearly idle. A VM takes one to two seconds to move, a job may
 * take three to five, so that VMs that come in the first second still serve it in time. A VM that
 * is to go gets no more tasks and is moved when those that it has are done; VMs with standing tasks
 * stay.
 *
 * <p>Answers a backlog too, as after an outage: jobs that are late already get VMs that nobody else
 * needs, and give theirs up as soon as jobs of another queue can be in time with them. Late jobs
 * earn a small part of their worth. In {@code TurnReplayTest} a queue's turn beside a backlog of 90
 * jobs has 0.84 of its jobs in time; 0.24 while late jobs counted like others.
 */
final class PoolBalance {
    /** What a pool has beyond what its jobs need: tasks don't fill workers to the brim. */
    private static final double HEADROOM = 1.1;

    /** Time from the decision to move a VM until it works, in milliseconds. */
    private static final long JOIN_MS = 2000;

    /** A VM that was moved stays at least this long, in milliseconds: a move has its price. */
    private static final long STAY_MS = 2000;

    /** A pool with spare VMs gives them to the standby pool after this time, in milliseconds. */
    private static final long IDLE_MS = 1000;

    /** A pool that lacks more than this share of a VM gets one. */
    private static final double WORTH_A_VM = 0.5;

    /** VMs without standing tasks that a pool with work keeps at least. */
    private static final int KEEP_BUSY = 3;

    /** Spare VMs that a serving pool keeps for what comes at once. */
    private static final int KEEP_IDLE = 1;

    private final Scheduler mScheduler;
    private final VmTable mVms;
    private final PoolDemand mDemand;
    private final Map<String, Long> mSpareSinceMs = new HashMap<>();

    PoolBalance(Scheduler scheduler, VmTable vms) {
        mScheduler = scheduler;
        mVms = vms;
        mDemand = new PoolDemand(scheduler);
    }

    private static final class Pool {
        final String mName;
        final List<VmState> mMovable = new ArrayList<>();
        final long mSize;
        double mLack;
        double mLate;
        int mComing;
        int mExtra;

        /**
         * A pool.
         *
         * @param size thousandths of a core that a VM offers
         */
        Pool(String name, long size) {
            mName = name;
            mSize = size;
        }

        /**
         * VMs that the pool lacks with its late jobs; negative for those that nobody there needs.
         */
        double lackedWithLate() {
            return lackedVms() + mLate / mSize;
        }

        /** VMs that jobs lack that can be in time; negative for those they can do without. */
        double lackedVms() {
            double forWork = mLack / mSize;
            return lacksPlaces() ? Math.max(forWork, mExtra - mComing) : forWork;
        }

        /** Whether standing tasks wait for a VM, since none of the pool's admits them. */
        boolean lacksPlaces() {
            return mExtra > mComing;
        }

        /** A VM is on its way. */
        void coming(long size) {
            mLack -= size;
            mComing++;
        }
    }

    /**
     * Plans moves of VMs.
     *
     * @param toMove how many tasks have to move of steps that hold up a wave
     */
    void plan(FleetConfig config, Map<ActiveStep, Integer> toMove, long nowMs, long nowWallMs) {
        Map<String, Pool> pools = new LinkedHashMap<>();
        for (PoolService s : config.services()) {
            if (!s.standby()) {
                pools.put(s.name(), new Pool(s.name(), largestVm()));
            }
        }
        List<VmState> standby = new ArrayList<>();
        for (VmState vm : mVms.all()) {
            countPlanned(pools, vm);
            Pool pool = pools.get(vm.info().pool());
            if (pool != null) {
                addVm(pool, vm, nowMs);
            } else if (config.isStandby(vm.info().pool()) && vm.isFree()) {
                standby.add(vm);
            }
        }
        for (Pool p : pools.values()) {
            p.mLack += wanted(p.mName, nowMs, nowWallMs);
            p.mLate = mDemand.late(p.mName, nowWallMs);
            p.mExtra = mDemand.vmsForStanding(p.mName, toMove, p.mSize, nowMs);
        }
        pools.values().forEach(p -> p.mMovable.sort(Comparator.comparingLong(this::used)));
        fill(pools, standby, nowMs);
        fillForLate(pools.values(), standby, nowMs);
        park(config, pools, nowMs);
    }

    /** Thousandths of a core of the largest VM. */
    private long largestVm() {
        long largest = 1;
        for (VmState vm : mVms.all()) {
            largest = Math.max(largest, vm.info().capacity().milliProcessors());
        }
        return largest;
    }

    /**
     * Counts a VM that is to move for the pool that it goes to, also while its last tasks run.
     * Without this each pass finds the pool as short of VMs as before, and chooses further ones
     * until the first has moved.
     */
    private static void countPlanned(Map<String, Pool> pools, VmState vm) {
        if (vm.planned().isPresent() && vm.planned().get() instanceof VmAction.Move move) {
            Pool pool = pools.get(move.pool());
            if (pool != null) {
                pool.coming(vm.info().capacity().milliProcessors());
            }
        }
    }

    /** Counts the VM's room for tasks that end, and whether it could go. */
    private void addVm(Pool pool, VmState vm, long nowMs) {
        long size = vm.info().capacity().milliProcessors();
        Optional<WorkerState> worker = mScheduler.worker(vm.info().worker());
        boolean moving = vm.info().phase() == VmPhase.MOVING;
        boolean joining = worker.isEmpty() && vm.info().phase() == VmPhase.UP && vm.isFree();
        if (moving || joining) {
            pool.coming(size);
            return;
        }
        // A new owner has not looked at its workers yet; without them each pool would seem empty.
        boolean serves = vm.isFree() && worker.isPresent() && worker.get().counts(nowMs);
        if (!serves) {
            return;
        }
        long standing = worker.get().standingUsed();
        pool.mLack -= size - standing;
        WorkerState at = worker.get();
        boolean stays = standing > 0 || at.hasStanding() || at.isKept();
        boolean known = worker.get().isUsable(nowMs);
        if (known && !stays && nowMs - vm.movedMs() > STAY_MS) {
            pool.mMovable.add(vm);
        }
    }

    /**
     * Thousandths of a core that a service wants: for the jobs that there are, and for those that
     * will have come when a VM that begins to move now can work.
     */
    private double wanted(String service, long nowMs, long nowWallMs) {
        double coming = mScheduler.arrivals().growthPerMs(service, nowMs) * JOIN_MS;
        return HEADROOM * (mDemand.inTime(service, nowWallMs) + coming);
    }

    private void fill(Map<String, Pool> pools, List<VmState> standby, long nowMs) {
        List<Pool> lacking = new ArrayList<>(pools.values());
        lacking.sort(
                Comparator.comparing(Pool::lacksPlaces)
                        .thenComparingDouble(Pool::lackedVms)
                        .reversed());
        for (Pool pool : lacking) {
            while (pool.lackedVms() > WORTH_A_VM) {
                Optional<VmState> vm =
                        standby.isEmpty() ? lend(pools, pool) : Optional.of(standby.remove(0));
                if (vm.isEmpty() && pool.lacksPlaces()) {
                    vm = lendBusy(pools, pool);
                }
                if (vm.isEmpty()) {
                    break;
                }
                vm.get().plan(new VmAction.Move(pool.mName, "queue is long"), nowMs);
                pool.coming(vm.get().info().capacity().milliProcessors());
            }
        }
    }

    /** Late jobs get VMs that are off, and none of another pool's. */
    private void fillForLate(Collection<Pool> pools, List<VmState> standby, long nowMs) {
        for (Pool pool : pools) {
            while (!standby.isEmpty() && pool.lackedWithLate() > WORTH_A_VM) {
                VmState vm = standby.remove(0);
                vm.plan(new VmAction.Move(pool.mName, "late jobs wait"), nowMs);
                pool.coming(vm.info().capacity().milliProcessors());
            }
        }
    }

    /** What tasks have taken of a VM, in thousandths of a core. */
    private long used(VmState vm) {
        return mScheduler
                .worker(vm.info().worker())
                .map(w -> w.used().milliProcessors())
                .orElse(0L);
    }

    /** The least used VM of the pool that can best do without. */
    private static Optional<VmState> lend(Map<String, Pool> pools, Pool to) {
        Pool from = null;
        for (Pool p : pools.values()) {
            boolean spare = p != to && p.lackedVms() <= -1 - KEEP_IDLE && !p.mMovable.isEmpty();
            if (spare && (from == null || p.lackedVms() < from.lackedVms())) {
                from = p;
            }
        }
        return Optional.ofNullable(from).map(PoolBalance::take);
    }

    /**
     * The least used VM of the pool that has most. Standing tasks go before other work: without
     * this they wait for as long as all pools have work, and hold a wave up.
     */
    private static Optional<VmState> lendBusy(Map<String, Pool> pools, Pool to) {
        Pool from = null;
        for (Pool p : pools.values()) {
            boolean may = p != to && !p.lacksPlaces() && p.mMovable.size() > KEEP_BUSY;
            if (may && (from == null || p.mMovable.size() > from.mMovable.size())) {
                from = p;
            }
        }
        return Optional.ofNullable(from).map(PoolBalance::take);
    }

    private static VmState take(Pool pool) {
        VmState vm = pool.mMovable.remove(0);
        pool.mLack += vm.info().capacity().milliProcessors();
        return vm;
    }

    private void park(FleetConfig config, Map<String, Pool> pools, long nowMs) {
        Optional<PoolService> standby =
                config.services().stream().filter(PoolService::standby).findFirst();
        if (standby.isEmpty()) {
            return;
        }
        for (Pool pool : pools.values()) {
            if (pool.lackedWithLate() > -1 - KEEP_IDLE) {
                mSpareSinceMs.remove(pool.mName);
                continue;
            }
            long since = mSpareSinceMs.computeIfAbsent(pool.mName, n -> nowMs);
            while (nowMs - since > IDLE_MS
                    && pool.lackedWithLate() <= -1 - KEEP_IDLE
                    && !pool.mMovable.isEmpty()) {
                VmState vm = take(pool);
                vm.plan(new VmAction.Move(standby.get().name(), "the pool has spare VMs"), nowMs);
            }
        }
    }
}
