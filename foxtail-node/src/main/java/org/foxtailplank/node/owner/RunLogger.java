package org.foxtailplank.node.owner;

import java.util.Collection;
import java.util.List;
import org.foxtailplank.node.log.LogLine;
import org.foxtailplank.schedule.DroppedRun;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerState;

/**
 * Logs the runs that an owner begins with, and those that it drops without a report of a worker.
 */
final class RunLogger {
    private final OwnerContext mContext;

    RunLogger(OwnerContext context) {
        mContext = context;
    }

    /** Logs the runs that were inherited. */
    void logInherited(Collection<WorkerState> workers) {
        for (WorkerState w : workers) {
            w.runs().forEach(this::logInherited);
        }
    }

    /** Logs recorded starts that were not inherited. */
    void logNotInherited(List<DroppedRun> starts) {
        starts.forEach(r -> line("start-not-inherited", r).write());
    }

    private void logInherited(TaskRun run) {
        mContext.log()
                .line("run-inherited")
                .with("task", run.task().name())
                .with("attempt", run.attempt())
                .with("worker", run.worker().id())
                .with("listed", run.worker().registration().isListed())
                .write();
    }

    void logDropped(List<DroppedRun> runs) {
        runs.forEach(r -> line("run-dropped", r).write());
    }

    /** Logs a run of an unresponsive worker whose lease has certainly expired. */
    void logLapsed(TaskRun run, long ownedMs, long nowMs) {
        mContext.log()
                .line("run-lapsed")
                .with("task", run.task().name())
                .with("attempt", run.attempt())
                .with("worker", run.worker().id())
                .with("listed", run.worker().registration().isListed())
                .with("renewedMsAgo", nowMs - run.worker().leaseRenewedMs())
                .with("ownedMs", ownedMs)
                .write();
    }

    private LogLine line(String kind, DroppedRun run) {
        return mContext.log()
                .line(kind)
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", run.worker())
                .with("why", run.why());
    }
}
