package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.VmClient.VmPhase;

/**
 * Moves VMs to pools with long queues, and idle VMs to the standby pool.
 *
 * <p>Serves queues with bursts: for some seconds each may need several times the capacity of its
 * pool while the others are nearly idle. VMs that are moved early in a burst still help its jobs
 * meet their objectives. A VM that is to move gets no new tasks and moves when its runs have ended;
 * VMs with standing tasks stay.
 *
 * <p>Late jobs, as in the backlog after an outage, only get VMs that no other pool needs, and lose
 * them as soon as another queue's jobs can meet their objectives with them. Counted like others,
 * late jobs, which have little value left, would make most jobs of a burst beside them late too.
 */
final class PoolBalancer {
    /** Factor on the demand, since tasks don't fill workers completely. */
    private static final double HEADROOM = 1.1;

    /**
     * Time for which arrivals are extrapolated, in milliseconds. A VM joins two seconds after the
     * decision to move it, and the rate of arrivals itself rises at the beginning of a burst.
     */
    private static final long FORECAST_MS = 3000;

    /** Minimum time between two moves of a VM, in milliseconds, since each move has its cost. */
    private static final long MIN_STAY_MS = 2000;

    /** A pool gets a VM if it misses more than this share of one. */
    private static final double MIN_MISSING_SHARE = 0.5;

    /** VMs without standing tasks that a busy pool keeps. */
    private static final int MIN_BUSY_VMS = 3;

    /** A pool that gets fewer VMs may do so for single jobs of an idle queue. */
    private static final int MIN_GROWING_VMS = 3;

    /** Time after its move for which a VM may be on its way, in milliseconds. */
    private static final long MAX_MOVE_MS = 4000;

    /** Spare VMs that a pool keeps for new jobs. */
    private static final int MIN_SPARE_VMS = 1;

    private final Scheduler mScheduler;
    private final ManagedVms mVms;
    private final PoolDemand mDemand;
    private final Map<String, SpareRelease> mReleases = new HashMap<>();
    private boolean mGrowing;
    private long mDemandKnownMs = Long.MIN_VALUE;
    private ForecastDemand mForecast = new ForecastDemand(Optional.empty());

    PoolBalancer(Scheduler scheduler, ManagedVms vms) {
        mScheduler = scheduler;
        mVms = vms;
        mDemand = new PoolDemand(scheduler);
    }

    /** Moves VMs to pools before the turns that are forecast from now on. */
    void setForecast(BurstForecast forecast) {
        mForecast = new ForecastDemand(Optional.of(forecast));
    }

    /** Releases no VMs before this time, as the demand isn't known. */
    void waitForDemand(long untilMs) {
        mDemandKnownMs = untilMs;
    }

    /** Whether a pool got or lacked VMs at the last plan, or the demand isn't known yet. */
    boolean mayNeedIdleVms(long nowMs) {
        return mGrowing || nowMs < mDemandKnownMs;
    }

    private static final class Pool {
        final String mName;
        final List<ManagedVm> mMovable = new ArrayList<>();
        final BatchCapacity mCapacity;
        final long mVmMilliCores;
        double mMissingMilliCores;
        double mLateMilliCores;
        int mIncomingVms;

        /** Those of the incoming VMs that come back from a reboot. */
        int mRebootedVms;

        int mVmsForStanding;
        int mVmsForGangs;

        /**
         * Creates a pool without VMs.
         *
         * @param capacity how capacity for the batch tasks of the pool is counted
         * @param vmMilliCores capacity of an empty VM, in thousandths of a core
         */
        Pool(String name, BatchCapacity capacity, long vmMilliCores) {
            mName = name;
            mCapacity = capacity;
            mVmMilliCores = vmMilliCores;
        }

        /**
         * VMs that the pool misses, including those for late jobs; negative if it has spare ones.
         */
        double missingVmsWithLate() {
            return missingVms() + mLateMilliCores / mVmMilliCores;
        }

        /** VMs that the pool doesn't need, without those that it keeps for new jobs. */
        double spareVms() {
            return -missingVmsWithLate() - MIN_SPARE_VMS;
        }

        /** VMs that the pool misses for jobs that aren't late; negative if it has spare ones. */
        double missingVms() {
            double forBatch = mMissingMilliCores / mVmMilliCores;
            if (mVmsForGangs > 0) {
                // VMs that have joined for a gang are kept until the last one has joined.
                forBatch = Math.max(forBatch, mVmsForGangs - mIncomingVms);
            }
            return needsVmForStanding()
                    ? Math.max(forBatch, mVmsForStanding - mIncomingVms)
                    : forBatch;
        }

        /** Whether standing tasks wait for a VM because no worker of the pool admits them. */
        boolean needsVmForStanding() {
            return mVmsForStanding > mIncomingVms;
        }

        /** Whether the pool gets or lacks VMs for more than single jobs. */
        boolean isGrowing() {
            int moving = mIncomingVms - mRebootedVms;
            return moving + Math.max(0, missingVms()) >= MIN_GROWING_VMS;
        }

        /** Counts a VM that is about to join the pool. */
        void addIncoming(ManagedVm vm) {
            mMissingMilliCores -= mCapacity.milliCores(vm.info().capacity());
            mIncomingVms++;
        }
    }

    /**
     * Plans moves of VMs.
     *
     * @param criticalMoves number of tasks that have to move, for each step that delays a wave
     */
    void plan(
            FleetConfig config,
            Map<ActiveStep, Integer> criticalMoves,
            long nowMs,
            long nowWallMs) {
        Map<String, Pool> pools = new LinkedHashMap<>();
        BatchCapacities capacities = mScheduler.batchCapacities(nowWallMs);
        for (ServiceConfig s : config.services()) {
            if (!s.standby()) {
                pools.put(s.name(), pool(s.name(), capacities.of(s.name())));
            }
        }
        List<ManagedVm> standby = new ArrayList<>();
        for (ManagedVm vm : mVms.all()) {
            countPlanned(pools, vm);
            Pool pool = pools.get(vm.info().pool());
            if (pool != null) {
                addVm(pool, vm, nowMs);
            } else if (config.isStandby(vm.info().pool()) && vm.isFree()) {
                standby.add(vm);
            }
        }
        OrganisationCaps caps = mScheduler.caps(config);
        Resources largestVm = largestVm();
        mForecast.advance(nowMs);
        for (Pool p : pools.values()) {
            p.mMissingMilliCores += forecastMilliCores(p, caps, nowMs, nowWallMs);
            p.mLateMilliCores = mDemand.lateMilliCores(p.mName, caps, nowWallMs);
            p.mVmsForGangs = mDemand.vmsForGangs(p.mName, largestVm, mVms.all().size(), nowMs);
            p.mVmsForStanding = mDemand.vmsForStanding(p.mName, criticalMoves, largestVm, nowMs);
        }
        pools.values().forEach(p -> p.mMovable.sort(Comparator.comparingLong(this::used)));
        assignVms(pools, standby, nowMs);
        assignVmsForLateJobs(pools.values(), standby, nowMs);
        mGrowing = pools.values().stream().anyMatch(Pool::isGrowing);
        releaseSpareVms(config, pools, nowMs);
    }

    /** Creates a pool; its capacity counts cores only if its batch tasks fit on no VM. */
    private Pool pool(String name, BatchCapacity capacity) {
        long vmMilliCores = largestVm(capacity);
        return vmMilliCores > 0
                ? new Pool(name, capacity, vmMilliCores)
                : new Pool(name, BatchCapacity.CORES, Math.max(1, largestVm(BatchCapacity.CORES)));
    }

    /** Largest capacity of an empty VM, in thousandths of a core. */
    private long largestVm(BatchCapacity capacity) {
        return mVms.all().stream()
                .mapToLong(vm -> capacity.milliCores(vm.info().capacity()))
                .max()
                .orElse(0);
    }

    /** Capacity of the VM with the most cores. */
    private Resources largestVm() {
        return mVms.all().stream()
                .map(vm -> vm.info().capacity())
                .max(
                        Comparator.comparingLong(Resources::milliProcessors)
                                .thenComparingLong(Resources::memoryBytes))
                .orElse(Resources.NONE);
    }

    /**
     * Counts a VM that is to move for its target pool, even while its last runs continue. Without
     * this every decision would select further VMs until the first one has moved.
     */
    private static void countPlanned(Map<String, Pool> pools, ManagedVm vm) {
        if (vm.planned().isPresent() && vm.planned().get() instanceof PlannedVmAction.Move move) {
            Pool pool = pools.get(move.pool());
            if (pool != null) {
                pool.addIncoming(vm);
            }
        }
    }

    /** Counts the VM's batch capacity, and notes whether it can move. */
    private void addVm(Pool pool, ManagedVm vm, long nowMs) {
        Optional<WorkerState> worker = mScheduler.worker(vm.info().worker());
        boolean moving = vm.info().phase() == VmPhase.MOVING;
        boolean registers = worker.map(WorkerState::isAwaitingEntry).orElse(true);
        boolean joining = registers && vm.info().phase() == VmPhase.UP && vm.isFree();
        if (moving || joining) {
            pool.addIncoming(vm);
            boolean moved = moving || nowMs - vm.lastMoveMs() < MAX_MOVE_MS;
            pool.mRebootedVms += moved ? 0 : 1;
            return;
        }
        // Workers that a new owner has not polled count too; otherwise each pool would seem empty.
        boolean serves = vm.isFree() && worker.isPresent() && worker.get().countsAsCapacity(nowMs);
        if (!serves) {
            return;
        }
        WorkerState state = worker.get();
        pool.mMissingMilliCores -= pool.mCapacity.milliCores(leftForBatch(vm, state));
        boolean pinned = state.hasStandingRuns() || state.isReservedForStanding();
        boolean usable = state.isUsable(nowMs);
        if (usable && !pinned && nowMs - vm.lastMoveMs() > MIN_STAY_MS) {
            pool.mMovable.add(vm);
        }
    }

    /** What the standing tasks of a VM leave; the worker's memory may be less than the VM's. */
    private static Resources leftForBatch(ManagedVm vm, WorkerState worker) {
        long standing = worker.standing().milliProcessors();
        Resources left = worker.freeWithoutBatch();
        return new Resources(
                vm.info().capacity().milliProcessors() - standing,
                left.memoryBytes(),
                left.accelerators());
    }

    /** Capacity that a service needs for its jobs and for those expected before a VM could join. */
    private double forecastMilliCores(
            Pool pool, OrganisationCaps caps, long nowMs, long nowWallMs) {
        double rate = mScheduler.arrivals().growthPerMs(pool.mName, nowMs);
        double arriving =
                mForecast.arriving(pool.mName, rate * FORECAST_MS, pool.mVmMilliCores, nowMs);
        double unstored = mScheduler.unstored().milliCores(pool.mName, caps, nowMs);
        double present = mDemand.onTimeMilliCores(pool.mName, caps, nowWallMs) + unstored;
        return HEADROOM * (present + arriving);
    }

    private void assignVms(Map<String, Pool> pools, List<ManagedVm> standby, long nowMs) {
        List<Pool> byNeed = new ArrayList<>(pools.values());
        byNeed.sort(
                Comparator.comparing(Pool::needsVmForStanding)
                        .thenComparingDouble(Pool::missingVms)
                        .reversed());
        for (Pool pool : byNeed) {
            while (pool.missingVms() > MIN_MISSING_SHARE) {
                Optional<ManagedVm> vm =
                        takeSpareVm(pools, pool, v -> used(v) == 0)
                                .or(() -> takeFirst(standby))
                                .or(() -> takeSpareVm(pools, pool, v -> true));
                if (vm.isEmpty() && pool.needsVmForStanding()) {
                    vm = takeBusyVm(pools, pool);
                }
                if (vm.isEmpty()) {
                    break;
                }
                vm.get().plan(new PlannedVmAction.Move(pool.mName, "the pool lacks VMs"), nowMs);
                pool.addIncoming(vm.get());
            }
        }
    }

    /** Assigns standby VMs to pools with late jobs. */
    private void assignVmsForLateJobs(Collection<Pool> pools, List<ManagedVm> standby, long nowMs) {
        for (Pool pool : pools) {
            while (!standby.isEmpty() && pool.missingVmsWithLate() > MIN_MISSING_SHARE) {
                ManagedVm vm = standby.remove(0);
                vm.plan(new PlannedVmAction.Move(pool.mName, "late jobs are waiting"), nowMs);
                pool.addIncoming(vm);
            }
        }
    }

    /** Capacity reserved on a VM, in thousandths of a core. */
    private long used(ManagedVm vm) {
        return mScheduler
                .worker(vm.info().worker())
                .map(w -> w.used().milliProcessors())
                .orElse(0L);
    }

    private static Optional<ManagedVm> takeFirst(List<ManagedVm> vms) {
        return vms.isEmpty() ? Optional.empty() : Optional.of(vms.remove(0));
    }

    /** Takes the least used VM of the pool with the most spare VMs, if the filter accepts it. */
    private static Optional<ManagedVm> takeSpareVm(
            Map<String, Pool> pools, Pool to, Predicate<ManagedVm> filter) {
        Pool from = null;
        for (Pool p : pools.values()) {
            boolean spare =
                    p != to
                            && p.missingVms() <= -1 - MIN_SPARE_VMS
                            && !p.mMovable.isEmpty()
                            && filter.test(p.mMovable.get(0));
            if (spare && (from == null || p.missingVms() < from.missingVms())) {
                from = p;
            }
        }
        return Optional.ofNullable(from).map(PoolBalancer::removeMovable);
    }

    /**
     * Takes the least used VM of the pool with the most movable VMs. Standing tasks have
     * precedence: without this they would wait, and delay a wave, as long as all pools are busy.
     */
    private static Optional<ManagedVm> takeBusyVm(Map<String, Pool> pools, Pool to) {
        Pool from = null;
        for (Pool p : pools.values()) {
            boolean candidate =
                    p != to && !p.needsVmForStanding() && p.mMovable.size() > MIN_BUSY_VMS;
            if (candidate && (from == null || p.mMovable.size() > from.mMovable.size())) {
                from = p;
            }
        }
        return Optional.ofNullable(from).map(PoolBalancer::removeMovable);
    }

    private static ManagedVm removeMovable(Pool pool) {
        ManagedVm vm = pool.mMovable.remove(0);
        pool.mMissingMilliCores += pool.mCapacity.milliCores(vm.info().capacity());
        return vm;
    }

    private void releaseSpareVms(FleetConfig config, Map<String, Pool> pools, long nowMs) {
        Optional<ServiceConfig> standby =
                config.services().stream().filter(ServiceConfig::standby).findFirst();
        if (standby.isEmpty()) {
            return;
        }
        if (!mScheduler.isStoreAvailable() || nowMs < mDemandKnownMs) {
            // The demand isn't known while no job is accepted.
            mReleases.values().forEach(SpareRelease::reset);
            return;
        }
        int held = mForecast.heldVms(nowMs);
        for (Pool pool : pools.values()) {
            SpareRelease release = mReleases.computeIfAbsent(pool.mName, n -> new SpareRelease());
            if (pool.spareVms() - held < 1) {
                release.reset();
                continue;
            }
            int due = Math.min(release.vmsDue(pool.spareVms() - held, nowMs), pool.mMovable.size());
            for (int i = 0; i < due && pool.spareVms() - held >= 1; i++) {
                ManagedVm vm = removeMovable(pool);
                vm.plan(
                        new PlannedVmAction.Move(standby.get().name(), "the pool has spare VMs"),
                        nowMs);
            }
        }
    }
}
