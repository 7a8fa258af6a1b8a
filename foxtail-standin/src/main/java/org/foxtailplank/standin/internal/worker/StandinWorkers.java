package org.foxtailplank.standin.internal.worker;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.internal.fault.FaultKind;
import org.foxtailplank.standin.internal.fault.Faults;
import org.foxtailplank.standin.internal.fault.Timers;
import org.foxtailplank.standin.internal.http.Json;
import org.foxtailplank.standin.internal.http.Reply;
import org.foxtailplank.standin.internal.http.Request;

/** The workers' HTTP interface; each VM that is on is a worker. */
public final class StandinWorkers {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int KEPT_TASKS = 200;
    private static final double WRONG_FACTOR = 4;

    private final Settings mSettings;
    private final PlatformOptions mOptions;
    private final Faults mFaults;
    private final Random mRandom;
    private final Map<VmId, Map<String, StandinTask>> mTasks = new TreeMap<>();

    /** Workers without tasks. */
    public StandinWorkers(Settings settings, PlatformOptions options, Faults faults) {
        mSettings = settings;
        mOptions = options;
        mFaults = faults;
        mRandom = new Random(options.seed());
    }

    /** A worker lost its power, and its tasks with it. */
    public synchronized void lose(VmId vm) {
        long now = System.currentTimeMillis();
        tasks(vm).values().forEach(t -> t.end(StandinTask.Status.LOST, now));
    }

    /** Answers a call under {@code /v1/workers}. */
    public CompletionStage<Reply> handle(Request request, Set<VmId> poweredOn) throws IOException {
        return CompletableFuture.completedFuture(answer(request, poweredOn));
    }

    private synchronized Reply answer(Request request, Set<VmId> poweredOn) throws IOException {
        long now = System.currentTimeMillis();
        if (request.is("GET", 2)) {
            return Reply.json(OK, list(request.parameter("zone"), poweredOn, now));
        }
        VmId vm = VmId.of(request.path().size() < 3 ? "-" : request.path().get(2));
        if (!poweredOn.contains(vm)) {
            return Reply.error(NOT_FOUND, "no such worker, or it is off: " + request.what());
        }
        if (request.is("POST", 4)) {
            return start(vm, Json.read(request.body(), WorkerDocuments.Start.class), now);
        }
        if (request.is("POST", 6)) {
            Optional<StandinTask> task = Optional.ofNullable(tasks(vm).get(request.path().get(4)));
            WorkerDocuments.Act act = Json.read(request.body(), WorkerDocuments.Act.class);
            return task.map(t -> act(t, act, now))
                    .orElseGet(() -> Reply.error(NOT_FOUND, "no such task: " + request.what()));
        }
        return Reply.error(NOT_FOUND, "no such call: " + request.what());
    }

    private Reply start(VmId vm, WorkerDocuments.Start start, long now) {
        StandinTask known = tasks(vm).get(start.task());
        if (known != null && known.mStart.attempt() >= start.attempt()) {
            boolean same = known.mStart.attempt() == start.attempt();
            return Reply.json(same ? ACCEPTED : CONFLICT, known.document(now));
        }
        StandinTask task =
                new StandinTask(start, now, mOptions.work().task().toMillis(), useFactor());
        tasks(vm).remove(start.task());
        tasks(vm).put(start.task(), task);
        boolean fails =
                mFaults.next(
                                "workers",
                                f ->
                                        f.kind() == FaultKind.FAIL
                                                && f.vm().map(vm.value()::equals).orElse(true))
                        .isPresent();
        Timers.after(mOptions.work().taskStart().toMillis()).thenRun(() -> started(task, fails));
        return Reply.json(ACCEPTED, task.document(now));
    }

    private synchronized void started(StandinTask task, boolean fails) {
        long now = System.currentTimeMillis();
        if (fails) {
            task.end(StandinTask.Status.FAILED, now);
        } else {
            task.running(now);
        }
    }

    private Reply act(StandinTask task, WorkerDocuments.Act act, long now) {
        task.advance(now);
        if (task.mStart.attempt() != act.attempt()) {
            return Reply.json(CONFLICT, task.document(now));
        }
        switch (act.action()) {
            case "checkpoint", "stop" -> task.end(StandinTask.Status.STOPPED, now);
            case "throttle" -> task.throttle(now);
            case "renew" -> task.renew(now, act.leaseMs());
            default -> throw new IllegalArgumentException("no such action: " + act.action());
        }
        return Reply.json(ACCEPTED, task.document(now));
    }

    private WorkerDocuments.WorkerList list(Optional<String> zone, Set<VmId> poweredOn, long now) {
        long measured = now - mOptions.listLag().toMillis();
        List<WorkerDocuments.Worker> workers = new ArrayList<>();
        for (VmId vm : poweredOn.stream().sorted().toList()) {
            String place = mSettings.vms().get(vm).zone().value();
            if (zone.isEmpty() || zone.get().equals(place)) {
                workers.add(worker(vm, place, measured, now));
            }
        }
        return new WorkerDocuments.WorkerList(measured, workers);
    }

    private WorkerDocuments.Worker worker(VmId vm, String zone, long measured, long now) {
        List<WorkerDocuments.Task> tasks = new ArrayList<>();
        double processors = 0;
        long memory = 0;
        for (StandinTask task : tasks(vm).values()) {
            task.advance(now);
            WorkerDocuments.Task document = task.document(measured);
            processors += document.processors();
            memory += document.memoryBytes();
            tasks.add(document);
        }
        return new WorkerDocuments.Worker(
                vm.value(), zone, tasks, new WorkerDocuments.Usage(processors, memory));
    }

    private Map<String, StandinTask> tasks(VmId vm) {
        Map<String, StandinTask> tasks = mTasks.computeIfAbsent(vm, v -> new LinkedHashMap<>());
        if (tasks.size() > KEPT_TASKS) {
            tasks.values().removeIf(StandinTask::ended);
        }
        return tasks;
    }

    private double useFactor() {
        if (mRandom.nextDouble() >= mOptions.work().misdeclared()) {
            return 1;
        }
        return mRandom.nextBoolean() ? WRONG_FACTOR : 1 / WRONG_FACTOR;
    }
}
