package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.AdviceTiming;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;
import org.foxtailplank.organisation.ResourceCap;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.foxtailplank.port.WorkerInfo;

/** Runs the real scheduler for tests, with a clock and workers controlled by the test. */
final class OwnerHarness {
    static final ScheduleLimits LIMITS = new ScheduleLimits(6000, 250, 200);
    static final long CORE = 1000;
    static final long WALL_MS = 1_000_000;

    final JobRegistry mRegistry;
    final Scheduler mScheduler = new Scheduler(LIMITS);
    FleetConfig mConfig =
            new FleetConfig(
                    1,
                    List.of(),
                    List.of(
                            new ServiceConfig("surveys", true, false),
                            new ServiceConfig("reports", true, false),
                            new ServiceConfig("off", true, true)),
                    1000);
    long mNowMs = 10_000;

    OwnerHarness() {
        this(new JobRegistry(120_000));
    }

    /** Creates an owner that takes over with the state of the journal. */
    OwnerHarness(JobRegistry registry) {
        mRegistry = registry;
    }

    /** Replaces the services of the configuration. */
    void setServices(List<ServiceConfig> services) {
        mConfig =
                new FleetConfig(
                        mConfig.version() + 1,
                        mConfig.routes(),
                        services,
                        mConfig.maxBodyBytes(),
                        mConfig.organisations());
    }

    /** Replaces the organisations of the configuration. */
    void setOrganisations(Organisation... organisations) {
        try {
            mConfig =
                    new FleetConfig(
                            mConfig.version() + 1,
                            mConfig.routes(),
                            mConfig.services(),
                            mConfig.maxBodyBytes(),
                            Organisations.of(List.of(organisations)));
        } catch (Organisations.DuplicateException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** An organisation that may use this many cores at a time; 0 for no limit. */
    static Organisation organisation(String name, double weight, int cores) {
        ResourceCap cap = new ResourceCap(Resources.of(cores, 0, 0));
        return new Organisation(name, Set.of("key-" + name), weight, cap);
    }

    static WorkerInfo info(String id, String service, int cores) {
        return info(id, service, Resources.of(cores, 1L << 40, 0), "r1", "zone");
    }

    /** Entry of one incarnation, with labels besides its rack. */
    static WorkerInfo info(
            WorkerIncarnation incarnation, String service, int cores, String... labels) {
        Set<String> all = new HashSet<>(Set.of(labels));
        all.add("r1");
        Resources capacity = Resources.of(cores, 1L << 40, 0);
        return new WorkerInfo(
                incarnation, service, "10.0.0.1:1", "zone", capacity, all, "r1", false);
    }

    static WorkerInfo info(
            String id, String service, Resources capacity, String rack, String zone) {
        return new WorkerInfo(
                WorkerIncarnation.ofUnknownStart(id),
                service,
                "10.0.0.1:1",
                zone,
                capacity,
                Set.of("a", rack),
                rack,
                false);
    }

    /** Adds a worker that answers polls and has no runs. */
    WorkerState addWorker(String id, String service, int cores) {
        return addWorker(info(id, service, cores));
    }

    WorkerState addWorker(String id, String service, Resources capacity, String rack, String zone) {
        return addWorker(info(id, service, capacity, rack, zone));
    }

    private WorkerState addWorker(WorkerInfo info) {
        mScheduler.updateWorker(info, mNowMs);
        WorkerState worker = mScheduler.worker(info.id()).get();
        poll(worker);
        return worker;
    }

    static TaskStep step(int tasks, int cores, long estimateMs, List<Integer> dependsOn) {
        return new TaskStep(
                tasks,
                Resources.of(cores, 1, 0),
                estimateMs,
                dependsOn,
                PlacementConstraints.ANYWHERE,
                RunMode.PLAIN);
    }

    static TaskStep standing(int tasks, int cores, int maxUnavailable) {
        return new TaskStep(
                tasks,
                Resources.of(cores, 1, 0),
                500,
                List.of(),
                PlacementConstraints.ANYWHERE,
                new RunMode(false, true, false, false, 0, maxUnavailable));
    }

    static JobDefinition definition(String id, String service, int priority, TaskStep... steps) {
        return definition(id, service, priority, Organisation.NONE, steps);
    }

    static JobDefinition definition(
            String id, String service, int priority, String organisation, TaskStep... steps) {
        QueuePolicy policy = new QueuePolicy(priority, 2, 1.6, 600, Optional.empty());
        return new JobDefinition(
                id,
                "queue",
                service,
                "text",
                List.of(steps),
                Timetable.AT_ONCE,
                policy,
                WALL_MS,
                0,
                organisation);
    }

    /** The same job on a queue whose starts need tickets of the placement advice service. */
    static JobDefinition withAdvice(
            JobDefinition definition, long baseMs, long perWorkerMs, long validMs) {
        QueuePolicy plain = definition.policy();
        QueuePolicy policy =
                new QueuePolicy(
                        plain.priority(),
                        plain.maxAttempts(),
                        plain.stretch(),
                        plain.sloMs(),
                        Optional.of(new AdviceTiming(baseMs, perWorkerMs, validMs)));
        return new JobDefinition(
                definition.id(),
                definition.route(),
                definition.service(),
                definition.text(),
                definition.steps(),
                definition.timetable(),
                policy,
                definition.acceptedMs(),
                definition.configVersion(),
                definition.organisation());
    }

    JobProgress accept(JobDefinition definition) {
        JobProgress progress = mRegistry.apply(new JobAccepted(definition)).orElseThrow();
        mScheduler.addJob(progress, mNowMs);
        return progress;
    }

    Decisions decide() {
        return mScheduler.decide(mConfig, mNowMs, WALL_MS + mNowMs - 10_000);
    }

    /** Decides, records the starts in the journal and confirms them. */
    List<TaskRun> placeTasks() {
        List<TaskRun> planned = decide().planned();
        recordStarts(planned);
        confirmStarts(decide());
        return planned;
    }

    /** Answers the start commands of a decision. */
    void confirmStarts(Decisions decisions) {
        for (Decisions.Start s : decisions.starts()) {
            s.run().recordStartSent(mNowMs);
            mScheduler.startAnswered(s.run(), CommandOutcome.DONE, mNowMs);
        }
    }

    void recordStarts(List<TaskRun> planned) {
        List<StartedRun> starts = new ArrayList<>();
        for (TaskRun r : planned) {
            starts.add(r.startRecord());
        }
        mRegistry.apply(new RunsStarted(starts));
        mScheduler.startsRecorded(planned);
    }

    /** Ends a worker's incarnation as a crash does that another incarnation reveals. */
    WorkerEnd crash(String worker) {
        mNowMs += 10;
        return mScheduler.removeWorker(
                mScheduler.worker(worker).get(), WorkerEndReason.OTHER_INCARNATION, mNowMs);
    }

    /** Polls a worker that lists all of its runs and these ends. */
    PollResult poll(WorkerState worker, RunEnd... ends) {
        List<RunStatus> views = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            boolean ended = List.of(ends).stream().anyMatch(e -> e.task().equals(r.task().name()));
            if (!ended && r.phase() != RunPhase.PLANNED) {
                views.add(new RunStatus(r.task().name(), r.attempt(), "", 100, 0));
            }
        }
        return pollListing(worker, views, List.of(ends));
    }

    PollResult pollListing(WorkerState worker, List<RunStatus> running, List<RunEnd> ends) {
        PollResponse response =
                new PollResponse(
                        CommandOutcome.DONE,
                        WorkerIncarnation.UNKNOWN_START_MS,
                        5000 + mNowMs,
                        running,
                        ends);
        worker.recordLeaseGrant(mNowMs);
        long sentMs = mNowMs;
        mNowMs++;
        return mScheduler.pollAnswered(worker, response, sentMs, mNowMs);
    }

    /** Ends a run and stores its end. */
    void endRun(TaskRun run, RunOutcome outcome, long sequence) {
        RunEnd end = new RunEnd(sequence, run.task().name(), run.attempt(), outcome, "");
        PollResult result = poll(run.worker(), end);
        if (!result.toStore().isEmpty()) {
            storeEnds(result.toStore());
            run.worker().endStore();
        }
    }

    void storeEnds(List<RunEnd> ends) {
        List<EndedRun> ended = new ArrayList<>();
        for (RunEnd e : ends) {
            ended.add(new EndedRun(e.task(), e.attempt(), e.outcome(), WALL_MS));
        }
        mRegistry.apply(new RunsEnded(ended));
        ended.forEach(e -> mScheduler.runEndRecorded(e.task(), e.outcome(), mNowMs));
    }
}
