package org.foxtailplank.schedule;

import org.foxtailplank.port.CommandOutcome;

/** Applies the answers of workers to start and stop commands. */
final class CommandAnswers {
    /** Pause for a worker that refused a start for lack of capacity, in milliseconds. */
    private static final long NO_ROOM_PAUSE_MS = 150;

    private final RunTable mRuns;
    private final RestartedWorkers mRestarted;

    CommandAnswers(RunTable runs, RestartedWorkers restarted) {
        mRuns = runs;
        mRestarted = restarted;
    }

    /** Applies a worker's answer to a start command. */
    void startAnswered(TaskRun run, CommandOutcome outcome, long nowMs) {
        WorkerState worker = run.worker();
        switch (outcome) {
            case DONE -> {
                run.confirm(nowMs);
                mRuns.recordJobStarted(run.task().step().job());
            }
            case NO_ROOM -> {
                worker.markFullUntil(nowMs + NO_ROOM_PAUSE_MS);
                dropRefusedRun(run, outcome, nowMs);
            }
            case UNHEALTHY -> {
                worker.health().recordRefusal(nowMs);
                dropRefusedRun(run, outcome, nowMs);
            }
            case NO_TICKET -> {
                run.task().step().discardTicket(worker.incarnation());
                dropRefusedRun(run, outcome, nowMs);
            }
            case NOT_SENT -> {
                worker.markUnresponsive(nowMs);
                dropRefusedRun(run, outcome, nowMs);
            }
            case UNANSWERED -> {
                run.markUncertain();
                mRestarted.startUnanswered(run, nowMs);
                run.setCommandDue(true);
            }
            case OUTDATED, LEASE_OVER, INVALID -> dropRefusedRun(run, outcome, nowMs);
            case OTHER_LIFE -> {
                // The worker never got this command. The caller removes it if it has ended.
                worker.markUnresponsive(nowMs);
                if (run.isUncertain()) {
                    run.setCommandDue(true);
                } else {
                    mRuns.dropRun(run, "the start was answered with " + outcome);
                }
            }
            case FENCED -> {} // The caller stops owning.
            default -> throw new IllegalStateException("no rule for " + outcome);
        }
    }

    /**
     * Drops a run that its worker refused. If an earlier start command went unanswered, the run may
     * still begin, so it is stopped instead: a stop prevents it from starting.
     */
    private void dropRefusedRun(TaskRun run, CommandOutcome outcome, long nowMs) {
        if (run.phase() != RunPhase.STARTING) {
            return;
        }
        if (run.isUncertain()) {
            run.requestStop("start refused", nowMs);
        } else {
            mRuns.dropRun(run, "the start was answered with " + outcome);
        }
    }

    /** Applies a worker's answer to a stop command. */
    static void stopAnswered(TaskRun run, CommandOutcome outcome, long nowMs) {
        if (outcome == CommandOutcome.DONE) {
            run.recordStopAccepted(nowMs);
        } else {
            run.setCommandDue(true);
        }
    }
}
