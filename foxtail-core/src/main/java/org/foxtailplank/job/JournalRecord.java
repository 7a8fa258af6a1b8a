package org.foxtailplank.job;

import java.util.List;

/** A record of the journal, from which each node knows all jobs. */
public sealed interface JournalRecord {

    /** A job was accepted; a second record of the same ID changes nothing. */
    record JobAccepted(JobOrder order) implements JournalRecord {}

    /**
     * All that the journal tells of a job, written again before the platform drops the records that
     * told it first.
     *
     * @param order the job
     * @param starts the last start of each task that was started
     * @param ends its ends that count
     * @param cancelledMs when it was cancelled, in milliseconds since 1970; 0 if it was not
     */
    record JobRestated(
            JobOrder order, List<StartedRun> starts, List<EndedRun> ends, long cancelledMs)
            implements JournalRecord {
        public JobRestated {
            starts = List.copyOf(starts);
            ends = List.copyOf(ends);
        }
    }

    /** A caller has cancelled a job. */
    record JobCancelled(String job, long atMs) implements JournalRecord {}

    /**
     * Runs have ended. Ends are facts that their workers list, so that it doesn't matter which
     * owner wrote them down, or how often.
     */
    record RunsEnded(List<EndedRun> runs) implements JournalRecord {
        public RunsEnded {
            runs = List.copyOf(runs);
        }
    }

    /**
     * Runs are about to be started. They are written down before the orders are sent, so that a new
     * owner knows on which worker a task may be running.
     */
    record RunsStarted(List<StartedRun> runs) implements JournalRecord {
        public RunsStarted {
            runs = List.copyOf(runs);
        }
    }

    /** First tasks of these jobs have started: their workers have said so. */
    record JobsBegun(List<String> jobs) implements JournalRecord {
        public JobsBegun {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * One run that is about to be started.
     *
     * @param task the task
     * @param attempt number of the run
     * @param worker life of the worker
     */
    record StartedRun(TaskName task, int attempt, String worker) {}

    /**
     * An owner is alive.
     *
     * @param token its fencing token
     * @param address where other nodes reach it, as {@code ip:port}
     * @param ownedMs how long ago it took over, on its own steady clock
     */
    record OwnerAlive(long token, String address, long ownedMs) implements JournalRecord {}

    /**
     * An owner gives its place up.
     *
     * @param token its fencing token
     * @param node its node
     * @param callsOver whether no call of it or of an earlier owner to the VM service can be under
     *     way
     */
    record OwnerLeft(long token, String node, boolean callsOver) implements JournalRecord {}

    /** A VM has begun its reboot for a wave. */
    record VmRebooted(long wave, String vm) implements JournalRecord {}

    /**
     * When a wave's time is over, as an owner first saw it.
     *
     * @param dueMs in milliseconds since 1970
     */
    record WaveDue(long wave, long dueMs) implements JournalRecord {}

    /** Every VM of a wave has begun its reboot. */
    record WaveCompleted(long wave) implements JournalRecord {}

    /**
     * One ended run.
     *
     * @param task the task
     * @param attempt number of the run
     * @param outcome how it ended
     * @param atMs when the owner learned of it, in milliseconds since 1970
     */
    record EndedRun(TaskName task, int attempt, RunOutcome outcome, long atMs) {}
}
