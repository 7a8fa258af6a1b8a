package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunView;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.port.WorkerOrders.LookAnswer;

/** All active jobs and where their tasks run; takes in what workers list. */
final class RunTable {
    /** A worker lists this many ends at a time; a run may be missing because its end is beyond. */
    private static final int ENDS_A_LOOK = 500;

    private final UsualTimes mUsual = new UsualTimes();
    private final Map<String, ActiveJob> mJobs = new LinkedHashMap<>();
    private final Map<TaskName, Set<Integer>> mFailures = new HashMap<>();
    private final List<String> mBegun = new ArrayList<>();

    Optional<ActiveJob> job(String id) {
        return Optional.ofNullable(mJobs.get(id));
    }

    Collection<ActiveJob> jobs() {
        return mJobs.values();
    }

    /** Takes a job on; returns whether it is new. */
    boolean add(JobEntry entry) {
        boolean isNew = !entry.phase().isFinal() && !mJobs.containsKey(entry.order().id());
        if (isNew) {
            mJobs.put(entry.order().id(), new ActiveJob(entry));
        }
        return isNew;
    }

    /** A run that an earlier owner wrote down and that may still be there. */
    void inherit(StartedRun start, WorkerState worker, long nowMs) {
        Optional<TaskSlot> slot = job(start.task().job()).flatMap(j -> j.slot(start.task()));
        if (slot.isPresent() && worker.run(start.task(), start.attempt()).isEmpty()) {
            TaskRun run = new TaskRun(slot.get(), worker, start.attempt(), nowMs);
            run.inherited(nowMs);
            start(run);
        }
    }

    /** The number of the next run of a task; it rises over owners too. */
    int nextAttempt(TaskSlot slot) {
        int attempt = slot.lastAttempt() + 1;
        slot.attempt(attempt);
        return attempt;
    }

    /** The number of the next run of a gang, the same for all members. */
    int nextAttempt(ActiveStep gang) {
        int last = 0;
        for (TaskSlot s : gang.slots()) {
            last = Math.max(last, s.lastAttempt());
        }
        for (TaskSlot s : gang.slots()) {
            s.attempt(last + 1);
        }
        return last + 1;
    }

    /** The journal tells of an end, of this owner's or of an earlier one's. */
    void recorded(TaskName task, RunOutcome outcome, long nowMs) {
        Optional<TaskSlot> slot = job(task.job()).flatMap(j -> j.slot(task));
        if (outcome == RunOutcome.DONE && slot.isPresent()) {
            markAllDone(slot.get(), nowMs);
        }
    }

    void start(TaskRun run) {
        run.slot().runs().add(run);
        run.worker().add(run);
    }

    void remove(TaskRun run) {
        run.slot().runs().remove(run);
        run.worker().remove(run);
    }

    /** Marks the runs of a job that must not go on. */
    void endJob(ActiveJob job, String reason, long nowMs) {
        job.ending();
        for (ActiveRun run : job.runs()) {
            for (ActiveStep step : run.steps()) {
                for (TaskSlot slot : step.slots()) {
                    stopRuns(slot, reason, nowMs);
                }
            }
        }
    }

    static void stopRuns(TaskSlot slot, String reason, long nowMs) {
        for (TaskRun r : slot.runs()) {
            boolean sent = r.phase() == RunPhase.STARTING || r.phase() == RunPhase.RUNNING;
            if (sent) {
                r.stopping(reason, nowMs);
            }
        }
    }

    /** Forgets jobs of which nothing is left to do. */
    void forgetEnded() {
        mJobs.values().removeIf(j -> (j.isEnding() || j.entry().phase().isFinal()) && hasNoRuns(j));
    }

    private static boolean hasNoRuns(ActiveJob job) {
        for (ActiveRun run : job.runs()) {
            for (ActiveStep step : run.steps()) {
                for (TaskSlot slot : step.slots()) {
                    if (!slot.runs().isEmpty()) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    /** Takes in what a worker lists; the look was sent at {@code sentMs}. */
    LookEffects looked(WorkerState worker, LookAnswer answer, long sentMs, long nowMs) {
        List<RunEnd> toStore = new ArrayList<>();
        long last = 0;
        for (RunEnd end : answer.ended()) {
            last = Math.max(last, end.sequence());
            if (end.sequence() > worker.seenEnds()) {
                ended(worker, end, nowMs);
                if (end.outcome().counts()) {
                    toStore.add(end);
                }
            }
        }
        worker.seenEnds(last);
        Set<TaskRun> listed = new HashSet<>();
        List<RunView> orphans = new ArrayList<>();
        for (RunView view : answer.running()) {
            running(worker, view, nowMs).ifPresentOrElse(listed::add, () -> orphans.add(view));
        }
        boolean allEnds = answer.ended().size() < ENDS_A_LOOK;
        List<TaskRun> lost = allEnds ? unlisted(worker, listed, sentMs) : List.of();
        lost.forEach(this::remove);
        return new LookEffects(toStore, lost, orphans);
    }

    /** A worker has said that a run of the job has started. */
    void begun(ActiveJob job) {
        if (job.begin()) {
            mBegun.add(job.id());
        }
    }

    /** Jobs that have begun since this was last asked. */
    List<String> takeBegun() {
        List<String> begun = List.copyOf(mBegun);
        mBegun.clear();
        return begun;
    }

    private Optional<TaskRun> running(WorkerState worker, RunView view, long nowMs) {
        Optional<TaskRun> known = worker.run(view.task(), view.attempt());
        if (known.isPresent()) {
            known.get().seen(view, nowMs);
            begun(known.get().slot().step().job());
            return known;
        }
        Optional<TaskSlot> slot = job(view.task().job()).flatMap(j -> j.slot(view.task()));
        if (slot.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(adopt(slot.get(), worker, view, nowMs));
    }

    /** A run that an earlier owner started: it goes on, unless the task needs it no more. */
    private TaskRun adopt(TaskSlot slot, WorkerState worker, RunView view, long nowMs) {
        boolean wanted = slot.isWaiting() && !slot.step().job().isEnding();
        TaskRun run = new TaskRun(slot, worker, view.attempt(), nowMs);
        slot.attempt(view.attempt());
        start(run);
        run.seen(view, nowMs);
        begun(slot.step().job());
        if (!wanted) {
            run.stopping("not needed", nowMs);
        }
        return run;
    }

    /**
     * Runs that the worker had confirmed, or been told to stop, before the look was sent and that
     * it lists neither as running nor as ended: they are not there.
     */
    private static List<TaskRun> unlisted(WorkerState worker, Set<TaskRun> listed, long sentMs) {
        List<TaskRun> lost = new ArrayList<>();
        for (TaskRun run : worker.runs()) {
            boolean known = run.confirmedMs() >= 0 && run.confirmedMs() < sentMs;
            if (known && !listed.contains(run)) {
                lost.add(run);
            }
        }
        return lost;
    }

    private void ended(WorkerState worker, RunEnd end, long nowMs) {
        Optional<ActiveJob> job = job(end.task().job());
        Optional<TaskSlot> found = job.flatMap(j -> j.slot(end.task()));
        if (found.isEmpty()) {
            return;
        }
        TaskSlot slot = found.get();
        slot.attempt(end.attempt());
        begun(slot.step().job());
        Optional<TaskRun> run = worker.run(end.task(), end.attempt());
        run.ifPresent(this::remove);
        if (end.outcome() == RunOutcome.DONE) {
            run.ifPresent(r -> learn(r, nowMs));
        }
        if (!end.checkpoint().isEmpty()) {
            slot.checkpoint(end.checkpoint());
        }
        if (end.outcome() == RunOutcome.DONE) {
            done(slot, worker, nowMs);
        } else if (end.outcome() == RunOutcome.FAILED) {
            failed(slot, worker, end, nowMs);
        }
    }

    private void learn(TaskRun run, long nowMs) {
        double took = nowMs - run.firstSeenMs();
        double ratio = took / Math.max(1, run.slot().spec().estimateMs());
        mUsual.done(run.slot().step().job().order().service(), ratio);
    }

    /** How long runs of a service usually take, against their estimates. */
    double usual(String service) {
        return mUsual.ratio(service);
    }

    private void done(TaskSlot slot, WorkerState worker, long nowMs) {
        worker.health().done();
        markAllDone(slot, nowMs);
    }

    private static void markAllDone(TaskSlot slot, long nowMs) {
        if (slot.spec().mode().standing()) {
            return;
        }
        if (!slot.spec().placement().gang()) {
            markDone(slot, nowMs);
            return;
        }
        // The members of a gang end together: one end that is done stands for all of them.
        for (TaskSlot member : slot.step().slots()) {
            markDone(member, nowMs);
        }
    }

    private static void markDone(TaskSlot slot, long nowMs) {
        if (slot.isDone()) {
            return;
        }
        slot.done();
        slot.step().oneDone();
        stopRuns(slot, "another copy is done", nowMs);
    }

    private void failed(TaskSlot slot, WorkerState worker, RunEnd end, long nowMs) {
        ActiveJob job = slot.step().job();
        worker.health().failed(job.id(), nowMs);
        slot.avoid().add(worker.id());
        if (slot.spec().mode().standing()) {
            return;
        }
        // An end may be listed again to a new owner although it is stored already: runs are counted
        // by their numbers, so that it does not count twice.
        TaskName counted = job.entry().counted(end.task());
        Set<Integer> attempts = mFailures.computeIfAbsent(counted, t -> new HashSet<>());
        attempts.addAll(job.entry().failedAttempts(counted));
        attempts.add(end.attempt());
        if (attempts.size() >= job.order().terms().maxAttempts()) {
            endJob(job, "a task has failed for good", nowMs);
        }
    }
}
