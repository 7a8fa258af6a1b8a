package org.foxtailplank.job;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.organisation.Organisation;

/** A record of the journal, from which each node replays the state of all jobs and waves. */
public sealed interface JournalRecord {

    /** A job was accepted; further records with the same job ID are ignored. */
    record JobAccepted(JobDefinition definition) implements JournalRecord {}

    /**
     * Snapshot of a job's state, which replaces the original records; in parts if it is large.
     *
     * @param definition the job
     * @param starts the last start of each started task of runs that are not done
     * @param ends ends of tasks that are done and of failed attempts, of runs that are not done
     * @param doneRuns runs of the steps that are done
     * @param cancelledMs when it was cancelled, in milliseconds since the epoch; 0 if it was not
     * @param givenUpMs when it was given up, in milliseconds since the epoch; 0 if it was not
     * @param started whether a worker has reported the start of a task
     * @param endedWithWorker the last run of each task that ended with its worker
     */
    record JobSnapshot(
            JobDefinition definition,
            List<StartedRun> starts,
            List<EndedRun> ends,
            DoneRuns doneRuns,
            long cancelledMs,
            long givenUpMs,
            boolean started,
            List<StartedRun> endedWithWorker)
            implements JournalRecord {
        public JobSnapshot {
            starts = List.copyOf(starts);
            ends = List.copyOf(ends);
            endedWithWorker = List.copyOf(endedWithWorker);
        }
    }

    /**
     * Summaries of jobs that have ended, which replace their snapshots.
     *
     * @param jobs the jobs
     * @param configVersion newest version of the configuration by which a job was accepted; 0 if
     *     unknown
     */
    record JobsEnded(List<EndedJob> jobs, long configVersion) implements JournalRecord {
        public JobsEnded {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * What is kept of a job that has ended.
     *
     * @param job ID of the job
     * @param route name of the queue that it was submitted to
     * @param organisation name of the organisation that it belongs to; empty for none
     * @param phase final phase
     * @param acceptedMs when it was accepted, in milliseconds since the epoch
     * @param endedMs when it ended, in milliseconds since the epoch
     */
    record EndedJob(
            String job,
            String route,
            String organisation,
            JobPhase phase,
            long acceptedMs,
            long endedMs) {
        private static final QueuePolicy POLICY = new QueuePolicy(0, 1, 1, 0, Optional.empty());

        public EndedJob {
            if (!phase.isFinal()) {
                throw new IllegalArgumentException(phase + " is not a final phase");
            }
        }

        /** Returns a definition without steps, as none of them will run again. */
        JobDefinition definition() {
            return new JobDefinition(
                    job,
                    route,
                    "",
                    "",
                    List.of(),
                    Timetable.AT_ONCE,
                    POLICY,
                    acceptedMs,
                    0,
                    organisation);
        }
    }

    /**
     * Runs of a job's steps that are done.
     *
     * @param ranges numbers of the runs
     * @param endedMs when the job ended, in milliseconds since the epoch; 0 if it has not
     */
    record DoneRuns(List<RunRange> ranges, long endedMs) {
        public static final DoneRuns NONE = new DoneRuns(List.of(), 0);

        public DoneRuns {
            ranges = List.copyOf(ranges);
        }
    }

    /** A caller cancelled a job. */
    record JobCancelled(String job, long atMs) implements JournalRecord {}

    /**
     * Callers cancelled jobs that no node knew. Appends that are under way may still introduce such
     * a job; it is cancelled then, whichever record is read first.
     */
    record UnknownJobsCancelled(List<CancelledId> ids) implements JournalRecord {
        public UnknownJobsCancelled {
            ids = List.copyOf(ids);
        }
    }

    /**
     * The cancellation of a job that wasn't known.
     *
     * @param job ID of the job
     * @param organisation name of the organisation whose key the request carried; empty for none
     * @param route name of the queue that the request named
     * @param atMs when it was cancelled, in milliseconds since the epoch
     */
    record CancelledId(String job, String organisation, String route, long atMs) {
        /** Whether the caller may cancel the job that turns out to have this ID. */
        boolean applies(JobDefinition definition) {
            String owner = definition.organisation();
            if (owner.equals(Organisation.NONE)) {
                return true;
            }
            return organisation.equals(Organisation.NONE)
                    ? route.equals(definition.route())
                    : organisation.equals(owner);
        }

        /** Whether another cancellation is by a caller with the same rights. */
        boolean hasSameScope(CancelledId other) {
            return job.equals(other.job)
                    && organisation.equals(other.organisation)
                    && route.equals(other.route);
        }
    }

    /** An owner gave up a job of which a task crashes each worker that starts it. */
    record JobGivenUp(String job, long atMs) implements JournalRecord {}

    /**
     * Runs have ended. Applying an end is idempotent, so any owner may write it, and more than
     * once.
     */
    record RunsEnded(List<EndedRun> runs) implements JournalRecord {
        public RunsEnded {
            runs = List.copyOf(runs);
        }
    }

    /**
     * Runs are about to be started. Written before the start commands are sent, so that a new owner
     * knows on which worker a task may be running.
     */
    record RunsStarted(List<StartedRun> runs) implements JournalRecord {
        public RunsStarted {
            runs = List.copyOf(runs);
        }
    }

    /**
     * Runs have ended because the incarnations of their workers did, with the crashes that their
     * tasks may have caused, these ends included.
     */
    record RunsEndedWithWorker(List<StartedRun> runs) implements JournalRecord {
        public RunsEndedWithWorker {
            runs = List.copyOf(runs);
        }
    }

    /** Workers have reported the start of a task of each of these jobs. */
    record JobsStarted(List<String> jobs) implements JournalRecord {
        public JobsStarted {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * A run that is about to be started, or was.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param worker the worker's incarnation
     * @param crashes crashes of workers that the task may have caused before. They are written with
     *     the start, so that no task starts again before its crashes are stored
     */
    record StartedRun(TaskName task, int attempt, WorkerIncarnation worker, CrashHistory crashes) {
        /** Creates a start of a task that has crashed no worker. */
        public StartedRun(TaskName task, int attempt, WorkerIncarnation worker) {
            this(task, attempt, worker, CrashHistory.NONE);
        }
    }

    /**
     * Heartbeat of an owner.
     *
     * @param token its fencing token
     * @param address address for other nodes, as {@code ip:port}
     * @param ownedMs time since it took over, by its own monotonic clock, in milliseconds
     */
    record OwnerHeartbeat(long token, String address, long ownedMs) implements JournalRecord {}

    /**
     * An owner has given up ownership.
     *
     * @param token its fencing token
     * @param node name of its node
     * @param vmCallsFinished whether no call to the VM service by it or an earlier owner can still
     *     be in flight
     */
    record OwnerResigned(long token, String node, boolean vmCallsFinished)
            implements JournalRecord {}

    /** The reboot of a VM for a wave has begun. */
    record VmRebooted(long wave, String vm) implements JournalRecord {}

    /**
     * Deadline of a wave, as computed by the owner that first saw the wave.
     *
     * @param dueMs the deadline, in milliseconds since the epoch
     */
    record WaveDue(long wave, long dueMs) implements JournalRecord {}

    /** The reboots of all VMs of a wave have begun. */
    record WaveCompleted(long wave) implements JournalRecord {}

    /**
     * A run that has ended.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param outcome how it ended
     * @param atMs when the owner learned of it, in milliseconds since the epoch
     */
    record EndedRun(TaskName task, int attempt, RunOutcome outcome, long atMs) {}
}
