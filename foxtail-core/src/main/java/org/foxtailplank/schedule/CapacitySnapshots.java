package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.port.FleetConfig;

/**
 * Computes the capacity and the waiting work of services, by which jobs are accepted.
 *
 * <p>Capacity for batch tasks is what standing tasks leave, as the scheduler counts it; what is
 * free counts only as far as whole tasks fit on a worker. Work is divided as the scheduler orders
 * jobs: those that can meet their objectives together come before late ones, and jobs beyond their
 * organisations' rates come last.
 */
public final class CapacitySnapshots {
    /** Most organisations of a service, as each takes space in the reports to the nodes. */
    private static final int MAX_ORGANISATIONS = 8;

    private final Scheduler mScheduler;
    private final JoiningCapacity mJoining;

    /** Creates snapshots of a scheduler's services and the VMs on their way to their pools. */
    public CapacitySnapshots(Scheduler scheduler, VmPlanner planner) {
        mScheduler = scheduler;
        mJoining = new JoiningCapacity(scheduler, planner.vms());
    }

    /** Work of the due batch jobs of a service, in milliseconds times thousandths of a core. */
    private static final class Work {
        final Map<String, Long> mByOrganisation = new HashMap<>();
        long mInTime;
        long mLate;
        long mExcess;
    }

    /** Returns the capacities of some services. */
    public List<QueueCapacity> of(
            Collection<String> services, FleetConfig config, long nowMs, long nowWallMs) {
        Map<String, List<ActiveRun>> due = mScheduler.dueRunsByService(nowWallMs);
        Map<String, Long> ownWork = workByOrganisation(due.values());
        List<QueueCapacity> capacities = new ArrayList<>();
        for (String s : services) {
            List<ActiveRun> runs = due.getOrDefault(s, List.of());
            capacities.add(of(s, runs, ownWork, config, nowMs, nowWallMs));
        }
        return capacities;
    }

    private QueueCapacity of(
            String service,
            List<ActiveRun> runs,
            Map<String, Long> ownWork,
            FleetConfig config,
            long nowMs,
            long nowWallMs) {
        long milliCores = 0;
        long freeMilliCores = 0;
        BatchCapacity capacity = mScheduler.batchCapacities(nowWallMs).of(service);
        Resources typical = typicalTask(runs);
        for (WorkerState w : mScheduler.workersOf(service)) {
            if (w.countsAsCapacity(nowMs)) {
                // A worker whose capacity shrank below its standing tasks takes none from others.
                milliCores += Math.max(0, capacity.milliCores(w.freeWithoutBatch()));
                freeMilliCores += w.isUsable(nowMs) ? usable(w.free(), typical) : 0;
            }
        }
        OrganisationCaps caps = mScheduler.caps(config);
        Work work = work(runs, milliCores, caps, nowWallMs);
        List<QueueCapacity.Joining> joining = mJoining.of(service, capacity, config, nowMs);
        QueueCapacity all =
                new QueueCapacity(
                        service,
                        nowMs,
                        milliCores,
                        freeMilliCores,
                        joining,
                        work.mInTime,
                        work.mLate,
                        work.mExcess,
                        Map.of());
        return new QueueCapacity(
                service,
                nowMs,
                milliCores,
                freeMilliCores,
                joining,
                work.mInTime,
                work.mLate,
                work.mExcess,
                organisations(all, work, ownWork, caps, nowWallMs));
    }

    /** Work of each organisation's due batch jobs on all services. */
    private static Map<String, Long> workByOrganisation(Collection<List<ActiveRun>> due) {
        Map<String, Long> work = new HashMap<>();
        for (List<ActiveRun> runs : due) {
            for (ActiveRun r : runs) {
                if (!r.job().definition().isStanding()) {
                    work.merge(r.job().definition().organisation(), r.remainingWork(), Long::sum);
                }
            }
        }
        return work;
    }

    private static Work work(
            List<ActiveRun> runs, long milliCores, OrganisationCaps caps, long nowWallMs) {
        Set<ActiveRun> inTime =
                new OnTimeSelection(PoolCapacity.of(milliCores), caps, nowWallMs).select(runs);
        Work work = new Work();
        for (ActiveRun r : runs) {
            if (r.job().definition().isStanding()) {
                continue;
            }
            long left = r.remainingWork();
            work.mByOrganisation.merge(r.job().definition().organisation(), left, Long::sum);
            if (!r.job().isEntitled()) {
                work.mExcess += left;
            } else if (inTime.contains(r)) {
                work.mInTime += left;
            } else {
                work.mLate += left;
            }
        }
        return work;
    }

    /** Mean demand of the tasks that are not done; none if there are no tasks. */
    private static Resources typicalTask(List<ActiveRun> runs) {
        Resources sum = Resources.NONE;
        int tasks = 0;
        for (ActiveRun r : runs) {
            for (ActiveStep s : r.steps()) {
                if (!s.spec().mode().standing()) {
                    sum = sum.plus(s.spec().reserved().times(s.remainingTasks()));
                    tasks += s.remainingTasks();
                }
            }
        }
        return tasks == 0
                ? Resources.NONE
                : new Resources(
                        sum.milliProcessors() / tasks,
                        sum.memoryBytes() / tasks,
                        sum.accelerators() / tasks);
    }

    /** Part of a worker's free cores that whole tasks can use, in thousandths of a core. */
    private static long usable(Resources free, Resources task) {
        if (task.milliProcessors() <= 0) {
            return Math.max(0, free.milliProcessors());
        }
        long places = free.milliProcessors() / task.milliProcessors();
        if (task.memoryBytes() > 0) {
            places = Math.min(places, free.memoryBytes() / task.memoryBytes());
        }
        if (task.accelerators() > 0) {
            places = Math.min(places, free.accelerators() / task.accelerators());
        }
        return Math.max(0, places) * task.milliProcessors();
    }

    /** Organisations whose jobs wait longer than others by their caps or entitled rates. */
    private Map<String, OrganisationCapacity> organisations(
            QueueCapacity all,
            Work work,
            Map<String, Long> ownWork,
            OrganisationCaps caps,
            long nowWallMs) {
        long totalMilliCores = all.milliCores();
        for (QueueCapacity.Joining j : all.joining()) {
            totalMilliCores += j.milliCores();
        }
        double othersMs = delayMs(new OrganisationCapacity(totalMilliCores, work.mInTime));
        OrganisationCapacity afterAll =
                new OrganisationCapacity(totalMilliCores, work.mInTime + work.mLate + work.mExcess);
        Map<String, OrganisationCapacity> delayed = new HashMap<>();
        for (String name : work.mByOrganisation.keySet()) {
            Optional<OrganisationCapacity> limit =
                    underCap(name, all.service(), work, ownWork, caps);
            boolean exhausted =
                    !name.equals(Organisation.NONE)
                            && mScheduler.entitlements().isExhausted(name, nowWallMs);
            if (exhausted && limit.map(l -> delayMs(l) < delayMs(afterAll)).orElse(true)) {
                limit = Optional.of(afterAll);
            }
            limit.filter(l -> delayMs(l) > othersMs).ifPresent(l -> delayed.put(name, l));
        }
        List<String> names = new ArrayList<>(delayed.keySet());
        names.sort(Comparator.comparingDouble((String n) -> -delayMs(delayed.get(n))));
        delayed.keySet()
                .retainAll(Set.copyOf(names.subList(0, Math.min(MAX_ORGANISATIONS, names.size()))));
        return delayed;
    }

    /**
     * What an organisation's cap leaves on a service: at least the part of the cap that corresponds
     * to the service's part of its work, since its tasks on other services may end at any time.
     */
    private static Optional<OrganisationCapacity> underCap(
            String name,
            String service,
            Work work,
            Map<String, Long> ownWork,
            OrganisationCaps caps) {
        long here = work.mByOrganisation.get(name);
        double part = (double) here / Math.max(1, ownWork.get(name));
        long proportional = (long) (part * caps.milliCores(name).orElse(0L));
        return caps.milliCoresFor(name, service)
                .map(left -> new OrganisationCapacity(Math.max(left, proportional), here));
    }

    private static double delayMs(OrganisationCapacity capacity) {
        return capacity.milliCores() <= 0
                ? Double.MAX_VALUE
                : (double) capacity.waitingWork() / capacity.milliCores();
    }
}
