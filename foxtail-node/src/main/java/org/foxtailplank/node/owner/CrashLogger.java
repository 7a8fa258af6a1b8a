package org.foxtailplank.node.owner;

import org.foxtailplank.schedule.ActiveTask;
import org.foxtailplank.schedule.TaskRun;
import org.foxtailplank.schedule.WorkerEnd;
import org.foxtailplank.schedule.WorkerEndReason;
import org.foxtailplank.schedule.WorkerState;

/** Logs and counts ends of workers, what ended with them, and which tasks may be to blame. */
final class CrashLogger {
    private final OwnerContext mContext;

    CrashLogger(OwnerContext context) {
        mContext = context;
    }

    void logWorkerEnd(WorkerState worker, WorkerEndReason reason, WorkerEnd end, long nowMs) {
        long noticedMs = worker.noticedGoneMs(nowMs);
        mContext.log()
                .line("worker-over")
                .with("worker", worker.id())
                .with("why", reason)
                .with("runs", end.runs().size())
                .with("draining", worker.registration().isDraining())
                .with("evacuating", worker.isEvacuating())
                .with("silentMs", nowMs - noticedMs)
                .write();
        end.runs().forEach(r -> logRun(r, reason, noticedMs, nowMs));
        if (end.crashed()) {
            mContext.metrics().counter("workerCrashes").inc();
        }
        end.suspects().forEach(this::logSuspect);
    }

    /**
     * Logs a run that ended with its worker; {@code ageMs} is -1 if this owner didn't start it, and
     * {@code answeredMsAgo} if the incarnation hasn't answered this owner.
     */
    private void logRun(TaskRun run, WorkerEndReason reason, long noticedMs, long nowMs) {
        WorkerState worker = run.worker();
        long ageMs = run.firstSentMs() < 0 ? -1 : noticedMs - run.firstSentMs();
        long answeredMsAgo = worker.isPolled() ? nowMs - worker.lastAnswerMs() : -1;
        mContext.log()
                .line("run-ended-with-worker")
                .with("task", run.task().name())
                .with("attempt", run.attempt())
                .with("worker", worker.id())
                .with("why", reason)
                .with("answeredMsAgo", answeredMsAgo)
                .with("phase", run.phase())
                .with("ageMs", ageMs)
                .with("listed", run.isListed())
                .write();
    }

    private void logSuspect(WorkerEnd.Suspect suspect) {
        mContext.metrics().counter("crashSuspects").inc();
        mContext.log()
                .line("crash-suspect")
                .with("task", suspect.run().task().name())
                .with("attempt", suspect.run().attempt())
                .with("worker", suspect.run().worker().id())
                .with("crashes", suspect.crashes().crashes())
                .with("evidence", suspect.crashes().evidence())
                .write();
    }

    void logGivenUp(ActiveTask task) {
        mContext.metrics().counter("jobsGivenUp").inc();
        mContext.log()
                .line("job-given-up")
                .with("job", task.name().job())
                .with("task", task.name())
                .with("crashes", task.crashes().crashes())
                .with("evidence", task.crashes().evidence())
                .write();
    }
}
