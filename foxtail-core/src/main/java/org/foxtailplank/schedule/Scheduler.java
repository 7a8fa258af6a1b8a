package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OrderOutcome;
import org.foxtailplank.port.PlacementAdvice.Advice;
import org.foxtailplank.port.PoolService;
import org.foxtailplank.port.WorkerInfo;
import org.foxtailplank.port.WorkerOrders.LookAnswer;

/**
 * The owner's view of all jobs and workers, and what it decides.
 *
 * <p>It is told of jobs, workers and answers as they come, and {@link #decide} says what to do. It
 * holds nothing that the journal and the workers could not tell a new owner. Times are those of a
 * steady clock in milliseconds, but for those called wall time.
 */
public final class Scheduler {
    /** An order that went unanswered is sent again after this time. */
    private static final long REPEAT_MS = 250;

    /** A worker without room is asked again after this time, unless a run ends there before. */
    private static final long NO_ROOM_MS = 150;

    private final ScheduleLimits mLimits;
    private final RunTable mRuns;
    private final TaskPlacer mPlacer;
    private final Map<String, WorkerState> mWorkers = new LinkedHashMap<>();
    private final List<Decisions.Pace> mPaces = new ArrayList<>();
    private final ArrivalRate mArrivals = new ArrivalRate();
    private long mOthersUntilMs = Long.MIN_VALUE / 2;

    /**
     * The view of a new owner.
     *
     * @param limits times that the platform bounds
     */
    public Scheduler(ScheduleLimits limits) {
        mLimits = limits;
        mRuns = new RunTable();
        mPlacer = new TaskPlacer(mRuns);
    }

    /** A worker is new or says something new of itself. */
    public void worker(WorkerInfo info, long nowMs) {
        WorkerState known = mWorkers.get(info.id());
        if (known == null) {
            mWorkers.put(info.id(), new WorkerState(info, nowMs));
        } else {
            known.info(info);
        }
    }

    /** The directory names a worker no more; what runs there goes on until its lease is over. */
    public void workerUnlisted(String id) {
        worker(id).ifPresent(WorkerState::unlisted);
    }

    /** A life of a worker is surely over, and all that ran there. */
    public List<TaskRun> workerOver(String id) {
        WorkerState worker = mWorkers.remove(id);
        if (worker == null) {
            return List.of();
        }
        List<TaskRun> ended = List.copyOf(worker.runs());
        ended.forEach(mRuns::remove);
        return ended;
    }

    public Optional<WorkerState> worker(String id) {
        return Optional.ofNullable(mWorkers.get(id));
    }

    public Collection<WorkerState> workers() {
        return mWorkers.values();
    }

    RunTable runs() {
        return mRuns;
    }

    public ScheduleLimits limits() {
        return mLimits;
    }

    /** A job was accepted. */
    public void job(JobEntry entry, long nowMs) {
        JobOrder order = entry.order();
        boolean isNew = mRuns.add(entry);
        if (isNew && !order.isStanding() && !order.timetable().isTimed()) {
            mArrivals.arrived(order.service(), CoreDemand.of(order), nowMs);
        }
    }

    ArrivalRate arrivals() {
        return mArrivals;
    }

    /**
     * A job that an earlier owner has worked on. Each start that it wrote down and of which no end
     * is known counts as running until its worker has been looked at, is over, or can't have a
     * lease any more: the task is not started a second time before that.
     */
    public void inherit(JobEntry entry, Predicate<String> isOver, long nowMs) {
        if (!mRuns.add(entry)) {
            return;
        }
        for (StartedRun start : entry.lastStarts()) {
            mRuns.job(entry.order().id())
                    .flatMap(j -> j.slot(start.task()))
                    .ifPresent(s -> s.attempt(start.attempt()));
            if (!entry.hasEnded(start) && !isOver.test(start.worker())) {
                WorkerState worker =
                        mWorkers.computeIfAbsent(
                                start.worker(),
                                id -> WorkerState.unknown(id, entry.order().service(), nowMs));
                mRuns.inherit(start, worker, nowMs);
            }
        }
    }

    /** The journal says that a job will not go on. */
    public void jobEnded(String id, long nowMs) {
        mRuns.job(id).ifPresent(j -> mRuns.endJob(j, "job " + j.entry().phase(), nowMs));
    }

    /** A look was answered. */
    public LookEffects looked(WorkerState worker, LookAnswer answer, long sentMs, long nowMs) {
        worker.contact(answer.clockMs(), nowMs);
        worker.looked();
        LookEffects effects = mRuns.looked(worker, answer, sentMs, nowMs);
        if (effects.toStore().isEmpty()) {
            worker.noteStored();
        } else {
            worker.storing();
        }
        mPaces.addAll(PaceControl.adjust(worker, nowMs));
        for (TaskRun r : SlowWorkers.find(worker, mRuns.usual(worker.info().service()), nowMs)) {
            if (hasBetterPlace(r, nowMs)) {
                r.stopping(SlowWorkers.describe(r, nowMs), nowMs);
            }
        }
        return effects;
    }

    /** Starts stand in the journal; those that are still wanted may be sent. */
    public void recorded(List<TaskRun> starts) {
        for (TaskRun r : starts) {
            if (r.phase() != RunPhase.PLANNED || !r.slot().runs().contains(r)) {
                continue;
            }
            if (r.slot().isDone() || r.slot().step().job().isEnding()) {
                mRuns.remove(r);
            } else {
                r.recorded();
            }
        }
    }

    /** Jobs of which a first task has started since this was last asked. */
    public List<String> takeBegun() {
        return mRuns.takeBegun();
    }

    /** The journal tells of the end of a run. */
    public void recorded(TaskName task, RunOutcome outcome, long nowMs) {
        mRuns.recorded(task, outcome, nowMs);
    }

    /** Whether a sound worker has room for the run's task now. */
    private boolean hasBetterPlace(TaskRun run, long nowMs) {
        for (WorkerState w : workersOf(run.worker().info().service())) {
            boolean sound = w != run.worker() && !w.isSlow(nowMs);
            if (sound && WorkerChooser.isAllowed(run.slot(), w, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** A look went unanswered. */
    public void lookFailed(WorkerState worker) {
        worker.silent();
    }

    /** A start could not be sent yet; it is due again. */
    public void startDelayed(TaskRun run) {
        run.orderDue(true);
    }

    /** What a worker said to a start. */
    public void startAnswered(TaskRun run, OrderOutcome outcome, long nowMs) {
        WorkerState worker = run.worker();
        switch (outcome) {
            case DONE -> {
                run.confirmed(nowMs);
                mRuns.begun(run.slot().step().job());
            }
            case NO_ROOM -> {
                worker.fullUntil(nowMs + NO_ROOM_MS);
                giveUp(run, nowMs);
            }
            case UNHEALTHY -> {
                worker.health().refused(nowMs);
                giveUp(run, nowMs);
            }
            case NO_TICKET -> {
                run.slot().step().ticketRefused(worker.id());
                giveUp(run, nowMs);
            }
            case NOT_SENT -> {
                worker.silent();
                giveUp(run, nowMs);
            }
            case UNANSWERED -> {
                run.uncertain();
                run.orderDue(true);
            }
            case OUTDATED, LEASE_OVER, INVALID -> giveUp(run, nowMs);
            case FENCED, OTHER_LIFE -> {
                // The runtime handles both: the owner is no longer it, or the worker is over.
            }
            default -> throw new IllegalStateException("no rule for " + outcome);
        }
    }

    /**
     * Gives a run up that its worker refused. Where an earlier order for it went unanswered it may
     * begin later, so that it is stopped first: a stop keeps it from ever beginning.
     */
    private void giveUp(TaskRun run, long nowMs) {
        if (run.phase() != RunPhase.STARTING) {
            return;
        }
        if (run.isUncertain()) {
            run.stopping("start refused", nowMs);
        } else {
            mRuns.remove(run);
        }
    }

    /** What a worker said to a stop. */
    public void stopAnswered(TaskRun run, OrderOutcome outcome, long nowMs) {
        if (outcome == OrderOutcome.DONE) {
            run.stopTaken(nowMs);
        } else {
            run.orderDue(true);
        }
    }

    /** The advice that was asked for has come, or hasn't. */
    public void advised(Decisions.Ask ask, Advice advice, long nowMs) {
        if (advice.answered()) {
            ask.step().advised(ask.workers(), advice.tickets(), nowMs + advice.validMs());
        } else {
            ask.step().notAdvised();
        }
    }

    /** An earlier owner that knows of no successor may have renewed leases until this time. */
    public void renewedByOthersUntil(long untilMs) {
        mOthersUntilMs = untilMs;
    }

    /** Runs whose worker fell silent and whose lease is surely over. */
    public List<TaskRun> takeLapsed(long nowMs) {
        List<TaskRun> lapsed = new ArrayList<>();
        for (WorkerState w : mWorkers.values()) {
            long renewed = Math.max(w.grantedMs(), mOthersUntilMs);
            boolean over = nowMs > renewed + mLimits.surelyLapsedMs();
            if (w.isSilent() && over) {
                lapsed.addAll(w.runs());
            }
        }
        lapsed.forEach(mRuns::remove);
        return lapsed;
    }

    /** Drops the workers that neither the directory names nor a run ties, and returns them. */
    public List<WorkerState> takeForgotten() {
        List<WorkerState> forgotten = new ArrayList<>();
        for (WorkerState w : mWorkers.values()) {
            if (!w.isListed() && w.isSilent() && w.runs().isEmpty()) {
                forgotten.add(w);
            }
        }
        mWorkers.values().removeAll(forgotten);
        return forgotten;
    }

    /** How busy each service is, for the log. */
    public List<PoolLoad> loads(FleetConfig config, long nowMs, long nowWallMs) {
        Map<String, List<ActiveRun>> due = runsByService(nowWallMs);
        List<PoolLoad> loads = new ArrayList<>();
        for (PoolService s : config.services()) {
            List<ActiveRun> runs = due.getOrDefault(s.name(), List.of());
            loads.add(PoolLoads.of(s.name(), workersOf(s.name()), runs, nowMs));
        }
        return loads;
    }

    /** What to do now. */
    public Decisions decide(FleetConfig config, long nowMs, long nowWallMs) {
        Decisions out = new Decisions();
        mRuns.forgetEnded();
        out.paces().addAll(mPaces);
        mPaces.clear();
        repeatOrders(out, nowMs);
        for (Map.Entry<String, List<ActiveRun>> e : runsByService(nowWallMs).entrySet()) {
            List<ActiveRun> sorted =
                    Urgency.sort(e.getValue(), batchCores(e.getKey(), nowMs), nowWallMs);
            mPlacer.place(sorted, workersOf(e.getKey()), out, nowMs);
        }
        return out;
    }

    /** What a service's workers offer besides standing tasks, in thousandths of a core. */
    private long batchCores(String service, long nowMs) {
        long sum = 0;
        for (WorkerState w : workersOf(service)) {
            if (w.isUsable(nowMs)) {
                sum += w.info().capacity().milliProcessors() - w.standingUsed();
            }
        }
        return sum;
    }

    private void repeatOrders(Decisions out, long nowMs) {
        for (WorkerState w : mWorkers.values()) {
            for (TaskRun r : w.runs()) {
                if (r.isOrderDue() && nowMs - r.orderedMs() >= REPEAT_MS) {
                    send(r, out, nowMs);
                }
            }
        }
    }

    private static void send(TaskRun run, Decisions out, long nowMs) {
        if (run.phase() == RunPhase.STOPPING) {
            out.stops().add(run);
        } else if (run.phase() == RunPhase.STARTING) {
            out.starts().add(new Decisions.Start(run, ticket(run, nowMs)));
        }
        run.orderDue(false);
        run.ordered(nowMs);
    }

    private static String ticket(TaskRun run, long nowMs) {
        return run.slot().step().ticket(run.worker().id(), nowMs).orElse("");
    }

    private Map<String, List<ActiveRun>> runsByService(long nowWallMs) {
        Map<String, List<ActiveRun>> found = new LinkedHashMap<>();
        for (ActiveJob job : mRuns.jobs()) {
            if (job.isEnding()) {
                continue;
            }
            for (ActiveRun run : job.runs()) {
                boolean due = run.dueWallMs() <= nowWallMs + mLimits.earlyMs() / 2;
                if (due && !run.isDone()) {
                    found.computeIfAbsent(job.order().service(), s -> new ArrayList<>()).add(run);
                }
            }
        }
        return found;
    }

    List<WorkerState> workersOf(String service) {
        List<WorkerState> found = new ArrayList<>();
        for (WorkerState w : mWorkers.values()) {
            if (w.info().service().equals(service)) {
                found.add(w);
            }
        }
        return found;
    }
}
