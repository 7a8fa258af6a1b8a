package org.foxtailplank.schedule;

import static org.foxtailplank.schedule.OwnerHarness.definition;
import static org.foxtailplank.schedule.OwnerHarness.organisation;
import static org.foxtailplank.schedule.OwnerHarness.standing;
import static org.foxtailplank.schedule.OwnerHarness.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.CommandOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the tasks of an organisation never hold more than its cap. */
public class OrganisationCapTest {
    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mOwner.setOrganisations(organisation("a", 1, 8), organisation("b", 1, 0));
    }

    private void addWorkers(String service, int count) {
        for (int i = 0; i < count; i++) {
            mOwner.addWorker(service + i, service, 16);
        }
    }

    private long usedCores(String organisation) {
        Resources used = Resources.NONE;
        for (WorkerState w : mOwner.mScheduler.workers()) {
            for (TaskRun r : w.runs()) {
                if (r.task().step().job().definition().organisation().equals(organisation)) {
                    used = used.plus(r.task().spec().demand());
                }
            }
        }
        return used.milliProcessors() / OwnerHarness.CORE;
    }

    private static String organisationOf(TaskRun run) {
        return run.task().step().job().definition().organisation();
    }

    @Test
    public void anOrganisationIsCappedOverAllServicesWhileOthersStart() {
        addWorkers("surveys", 2);
        addWorkers("reports", 2);
        mOwner.accept(definition("j1", "surveys", 0, "a", step(10, 1, 500, List.of())));
        mOwner.accept(definition("j2", "reports", 0, "a", step(10, 1, 500, List.of())));
        mOwner.accept(definition("j3", "surveys", 1, "b", step(10, 1, 500, List.of())));

        mOwner.placeTasks();

        assertEquals(usedCores("a"), 8);
        assertEquals(usedCores("b"), 10);
    }

    @Test
    public void standingTasksAndGangsCount() {
        addWorkers("surveys", 2);
        TaskStep gang =
                new TaskStep(
                        4,
                        Resources.of(1, 1, 0),
                        500,
                        List.of(),
                        new PlacementConstraints(true, false, "", "", 0),
                        RunMode.PLAIN);
        mOwner.accept(definition("j1", "surveys", 0, "a", standing(5, 1, 1)));
        mOwner.placeTasks();
        mOwner.accept(definition("j2", "surveys", 0, "a", gang));

        assertEquals(mOwner.placeTasks().size(), 0, "the gang fits as a whole or not at all");
        assertEquals(usedCores("a"), 5);
    }

    /** Guards against starts whose answers are lost and that are started elsewhere beside. */
    @Test
    public void startsWithoutAnAnswerCount() {
        addWorkers("surveys", 2);
        mOwner.accept(definition("j1", "surveys", 0, "a", step(8, 1, 500, List.of())));
        List<TaskRun> planned = mOwner.decide().planned();
        mOwner.recordStarts(planned);
        planned.forEach(
                r -> mOwner.mScheduler.startAnswered(r, CommandOutcome.UNANSWERED, mOwner.mNowMs));
        mOwner.accept(definition("j2", "surveys", 0, "a", step(8, 1, 500, List.of())));

        assertEquals(mOwner.placeTasks().size(), 0);
    }

    /** Guards against a new owner that starts tasks beside those of its predecessor. */
    @Test
    public void runsOfAnEarlierOwnerCount() {
        addWorkers("surveys", 2);
        mOwner.accept(definition("j1", "surveys", 0, "a", step(8, 1, 500, List.of())));
        mOwner.placeTasks();
        JobRegistry journal = mOwner.mRegistry;
        OwnerHarness next = new OwnerHarness(journal);
        next.setOrganisations(organisation("a", 1, 8));
        next.mScheduler.updateWorker(OwnerHarness.info("surveys0", "surveys", 16), 10_000);
        next.mScheduler.updateWorker(OwnerHarness.info("surveys1", "surveys", 16), 10_000);
        journal.jobs().forEach(j -> next.mScheduler.addInheritedJob(j, w -> false, 10_000));
        next.accept(definition("j2", "surveys", 0, "a", step(8, 1, 500, List.of())));

        assertEquals(next.placeTasks().size(), 0);
    }

    /** Guards against a new owner that starts tasks beside those of a job that has just ended. */
    @Test
    public void runsOfAnEarlierOwnerCountAlthoughTheirJobHasEnded() {
        addWorkers("surveys", 2);
        mOwner.accept(definition("j1", "surveys", 0, "a", step(8, 1, 500, List.of())));
        mOwner.placeTasks();
        JobRegistry journal = mOwner.mRegistry;
        journal.apply(new JobCancelled("j1", OwnerHarness.WALL_MS));
        OwnerHarness next = new OwnerHarness(journal);
        next.setOrganisations(organisation("a", 1, 8));
        next.mScheduler.updateWorker(OwnerHarness.info("surveys0", "surveys", 16), 10_000);
        next.addWorker("surveys2", "surveys", 16);
        long wallMs = OwnerHarness.WALL_MS + 9000;
        journal.jobs()
                .forEach(j -> next.mScheduler.addInheritedEndedJob(j, w -> false, 10_000, wallMs));
        next.accept(definition("j2", "surveys", 0, "a", step(8, 1, 500, List.of())));

        assertEquals(next.placeTasks().size(), 0);
    }

    /** Guards against work that is thrown away because an operator reduces a cap. */
    @Test
    public void aReducedCapStopsStartsAndNoRuns() {
        addWorkers("surveys", 2);
        mOwner.accept(definition("j1", "surveys", 0, "a", step(12, 1, 500, List.of())));
        List<TaskRun> runs = mOwner.placeTasks();
        mOwner.setOrganisations(organisation("a", 1, 2));
        for (int i = 0; i < 6; i++) {
            mOwner.endRun(runs.get(i), RunOutcome.DONE, i + 1);
        }

        Decisions decisions = mOwner.decide();
        assertTrue(decisions.planned().isEmpty());
        assertTrue(decisions.stops().isEmpty());
        assertEquals(usedCores("a"), 2);
    }

    /** Guards against a task that never starts, as standing tasks hold half of the cap for good. */
    @Test
    public void aTaskThatIsLargerThanHalfOfTheCapStarts() {
        addWorkers("surveys", 2);
        mOwner.accept(definition("j1", "surveys", 0, "a", standing(3, 1, 1)));
        mOwner.placeTasks();
        mOwner.accept(definition("j2", "surveys", 0, "a", step(2, 6, 500, List.of())));

        assertEquals(mOwner.placeTasks().size(), 1);
        assertEquals(usedCores("a"), 9);
    }

    /** Guards against VMs that are started for tasks that a cap keeps waiting. */
    @Test
    public void aCapLimitsTheDemandForVms() {
        mOwner.accept(definition("j1", "surveys", 0, "a", step(200, 1, 500, List.of())));
        mOwner.accept(definition("j2", "surveys", 0, "b", step(10, 1, 500, List.of())));
        PoolDemand demand = new PoolDemand(mOwner.mScheduler);

        double milliCores =
                demand.onTimeMilliCores(
                        "surveys", mOwner.mScheduler.caps(mOwner.mConfig), OwnerHarness.WALL_MS);

        assertEquals(milliCores, 18_000, 1);
    }

    /** Guards against an organisation at its cap all of whose jobs are slightly late. */
    @Test
    public void jobsThatShareACapAreNotAllLate() {
        List<ActiveRun> runs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            mOwner.accept(definition("a" + i, "surveys", 0, "a", step(8, 1, 1000, List.of())));
            mOwner.accept(definition("b" + i, "surveys", 0, "b", step(8, 1, 1000, List.of())));
        }
        mOwner.mScheduler.runs().jobs().forEach(j -> runs.add(j.runs().get(0)));

        Set<ActiveRun> inTime =
                new OnTimeSelection(
                                PoolCapacity.of(1000 * OwnerHarness.CORE),
                                mOwner.mScheduler.caps(mOwner.mConfig),
                                OwnerHarness.WALL_MS)
                        .select(runs);

        long ofCapped =
                inTime.stream()
                        .filter(r -> r.job().definition().organisation().equals("a"))
                        .count();
        assertEquals(ofCapped, 2, "8 cores can do two of them in 2.2 s");
        assertEquals(inTime.size(), 8, "all jobs without a cap");
    }

    @Test
    public void noSequenceOfEventsExceedsACap() {
        for (int seed = 1; seed <= 20; seed++) {
            setUp();
            addWorkers("surveys", 3);
            addWorkers("reports", 3);
            playRandomEvents(new Random(seed), seed);
        }
    }

    private void playRandomEvents(Random random, int seed) {
        int largest = 3;
        int cap = 8;
        long sequence = 0;
        for (int i = 0; i < 120; i++) {
            long before = usedCores("a");
            switch (random.nextInt(5)) {
                case 0 -> {
                    String service = random.nextBoolean() ? "surveys" : "reports";
                    String organisation = random.nextInt(3) > 0 ? "a" : "b";
                    TaskStep step =
                            step(
                                    1 + random.nextInt(6),
                                    1 + random.nextInt(largest),
                                    500,
                                    List.of());
                    mOwner.accept(definition("j" + i, service, 0, organisation, step));
                }
                case 1 -> {
                    cap = 2 + random.nextInt(12);
                    mOwner.setOrganisations(organisation("a", 1, cap), organisation("b", 1, 0));
                }
                case 2 -> {
                    List<TaskRun> running = new ArrayList<>();
                    mOwner.mScheduler.workers().forEach(w -> running.addAll(w.runs()));
                    running.removeIf(r -> r.phase() != RunPhase.RUNNING);
                    if (!running.isEmpty()) {
                        TaskRun ended = running.get(random.nextInt(running.size()));
                        sequence++;
                        mOwner.endRun(ended, RunOutcome.DONE, sequence);
                    }
                }
                default -> mOwner.placeTasks();
            }
            long bound = Math.max(Math.max(cap, before), cap / 2 + largest);
            assertTrue(usedCores("a") <= bound, "seed " + seed + ", step " + i);
        }
    }

    /** Guards against a run of another owner that a worker lists and that isn't counted. */
    @Test
    public void runsThatOnlyAWorkerKnowsCount() {
        addWorkers("surveys", 2);
        mOwner.accept(definition("j1", "surveys", 0, "a", step(8, 1, 500, List.of())));
        WorkerState worker = mOwner.mScheduler.worker("surveys0").get();
        List<RunStatus> listed = new ArrayList<>();
        mOwner.mScheduler
                .runs()
                .job("j1")
                .get()
                .runs()
                .get(0)
                .steps()
                .get(0)
                .tasks()
                .forEach(t -> listed.add(new RunStatus(t.name(), 1, "", 50, 0)));
        mOwner.pollListing(worker, listed, List.of());
        mOwner.accept(definition("j2", "surveys", 0, "a", step(8, 1, 500, List.of())));

        assertTrue(
                mOwner.placeTasks().stream().noneMatch(r -> organisationOf(r).equals("a")),
                "all of the cap is in use");
    }
}
