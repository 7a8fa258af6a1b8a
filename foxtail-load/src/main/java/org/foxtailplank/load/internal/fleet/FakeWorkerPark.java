package org.foxtailplank.load.internal.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.WorkerReport;
import org.foxtailplank.id.VmId;

/** What runs on the workers, and which of them fail everything; nothing else of a worker. */
final class FakeWorkerPark {

    private static final double BLACK_HOLES = 0.05;

    /** A task that runs. */
    record Running(TaskId task, long attempt, Resources used, long sinceMs) {}

    private final Map<VmId, Resources> mCapacity;
    private final Map<VmId, Map<TaskId, Running>> mRunning = new HashMap<>();
    private final Set<VmId> mBlackHoles = new HashSet<>();
    private long mUsedMilli;

    FakeWorkerPark(Map<VmId, Resources> capacity, Random random) {
        mCapacity = capacity;
        List<VmId> ids = capacity.keySet().stream().sorted().toList();
        int holes = (int) Math.ceil(BLACK_HOLES * ids.size());
        while (mBlackHoles.size() < holes) {
            mBlackHoles.add(ids.get(random.nextInt(ids.size())));
        }
        ids.forEach(id -> mRunning.put(id, new LinkedHashMap<>()));
    }

    boolean isBlackHole(VmId worker) {
        return mBlackHoles.contains(worker);
    }

    Set<VmId> ids() {
        return mRunning.keySet();
    }

    void start(PlacementAction action, Resources real, long nowMs) {
        Running task = new Running(action.task(), action.attempt(), real, nowMs);
        mRunning.get(action.worker()).put(action.task(), task);
        mUsedMilli +=
                Math.min(real.milliProcessors(), mCapacity.get(action.worker()).milliProcessors());
    }

    /** Takes a task off a worker, if that attempt still runs there. */
    boolean end(VmId worker, TaskId task, long attempt) {
        Running running = mRunning.get(worker).get(task);
        if (running == null || running.attempt() != attempt) {
            return false;
        }
        mRunning.get(worker).remove(task);
        mUsedMilli -=
                Math.min(running.used().milliProcessors(), mCapacity.get(worker).milliProcessors());
        return true;
    }

    /** The youngest task of a worker that is out of memory. */
    Optional<Running> outOfMemory(VmId worker) {
        Map<TaskId, Running> tasks = mRunning.get(worker);
        long memory = tasks.values().stream().mapToLong(r -> r.used().memoryBytes()).sum();
        return memory <= mCapacity.get(worker).memoryBytes()
                ? Optional.empty()
                : tasks.values().stream().max(Comparator.comparingLong(Running::sinceMs));
    }

    /** What a worker says; processors are what it has, shared by what its tasks want. */
    WorkerReport report(VmId worker, long nowMs) {
        Map<TaskId, Running> tasks = mRunning.get(worker);
        long wanted = tasks.values().stream().mapToLong(r -> r.used().milliProcessors()).sum();
        long has = mCapacity.get(worker).milliProcessors();
        double share = wanted <= has ? 1 : (double) has / wanted;
        return new WorkerReport(
                worker,
                nowMs,
                tasks.values().stream()
                        .map(r -> new WorkerReport.Running(r.task(), r.attempt(), shared(r, share)))
                        .toList());
    }

    private static Resources shared(Running r, double share) {
        return new Resources(
                (long) (r.used().milliProcessors() * share), r.used().memoryBytes(), 0);
    }

    double usedShare() {
        long all = mCapacity.values().stream().mapToLong(Resources::milliProcessors).sum();
        return Math.min(1, (double) mUsedMilli / all);
    }
}
