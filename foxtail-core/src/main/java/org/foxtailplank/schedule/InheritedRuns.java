package org.foxtailplank.schedule;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.WorkerIncarnation;

/** Adds the runs that previous owners recorded and that may still be running. */
final class InheritedRuns {
    private final RunTable mRuns;
    private final WorkerTable mWorkers;
    private final CrashTracker mCrashes;
    private final DroppedRuns mNotInherited = new DroppedRuns();

    InheritedRuns(RunTable runs, WorkerTable workers, CrashTracker crashes) {
        mRuns = runs;
        mWorkers = workers;
        mCrashes = crashes;
    }

    /** Adds the runs of a job that was just added. */
    void add(JobProgress progress, Predicate<WorkerIncarnation> isOver, long nowMs) {
        Set<ActiveTask> crashed = new LinkedHashSet<>();
        for (StartedRun start : progress.lastStarts()) {
            Optional<ActiveTask> task =
                    mRuns.job(progress.definition().id()).flatMap(j -> j.task(start.task()));
            task.ifPresent(t -> t.recordAttempt(start.attempt()));
            task.ifPresent(t -> t.accountable().inheritCrashes(progress.crashes(start)));
            if (progress.hasEnded(start)) {
                if (!progress.isDone(start.task())) {
                    mNotInherited.add(DroppedRun.of(start, "its end is recorded"));
                }
                continue;
            }
            boolean isFormer = isFormerIncarnation(start.worker());
            boolean hasEnded = isOver.test(start.worker());
            if (isFormer || hasEnded) {
                task.ifPresent(t -> crashed.add(t.accountable()));
            }
            // The next incarnation may still execute a start that an earlier owner sent to the
            // former one, until it has answered this owner.
            if (isFormer || !hasEnded) {
                inherit(start, nowMs);
            } else {
                mNotInherited.add(DroppedRun.of(start, "its worker's incarnation has ended"));
            }
        }
        crashed.forEach(t -> mCrashes.inheritedRunEnded(t, nowMs));
    }

    /** Whether a later incarnation of the worker is known. */
    private boolean isFormerIncarnation(WorkerIncarnation incarnation) {
        return incarnation.hasKnownStart()
                && mWorkers.current(incarnation.id())
                        .filter(w -> w.incarnation().startMs() > incarnation.startMs())
                        .isPresent();
    }

    private void inherit(StartedRun start, long nowMs) {
        WorkerIncarnation recorded = start.worker();
        WorkerState worker =
                mWorkers.current(recorded.id())
                        .orElseGet(() -> mWorkers.addWithoutEntry(recorded, nowMs));
        if (recorded.startMs() > worker.incarnation().startMs()) {
            // The directory's entry is of a former incarnation.
            mWorkers.setStart(worker, recorded.startMs());
        }
        if (!mRuns.inherit(start, worker, nowMs)) {
            mNotInherited.add(DroppedRun.of(start, "its task is unknown, or the run is known"));
        }
    }

    /** Returns the starts of unfinished tasks that didn't become runs since the last call. */
    List<DroppedRun> takeNotInherited() {
        return mNotInherited.take();
    }
}
