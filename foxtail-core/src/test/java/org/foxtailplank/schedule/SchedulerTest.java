package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.PlacementRule;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunView;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.OrderOutcome;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.Test;

/** What the owner starts, stops and leaves alone. */
public class SchedulerTest {
    private static final String JOB = "00000000000000aa";
    private static final String OTHER = "00000000000000bb";

    @Test
    public void anEndIsNotAcknowledgedWhileItIsBeingStored() {
        // A caller sees a claim valued twice. A run ends; its end is on its way to the store, which
        // is slow; the worker is looked at again meanwhile and lists the same end. If that look
        // lets the end be acknowledged and the owner dies before the store has it, the next owner
        // knows nothing of it and starts the task again.
        Owner owner = new Owner();
        WorkerState worker = owner.worker("w1", "surveys", 8);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        TaskRun run = owner.place().get(0);
        RunEnd end = new RunEnd(1, run.slot().name(), 1, RunOutcome.DONE, "");

        LookEffects first = owner.look(worker, end);
        LookEffects second = owner.look(worker, end);

        assertEquals(first.toStore(), List.of(end));
        assertTrue(second.toStore().isEmpty());
        assertEquals(worker.storedEnds(), 0);
        assertTrue(worker.hasUnstoredEnds());
        worker.stored();
        assertEquals(worker.storedEnds(), 1);
    }

    @Test
    public void aStartIsSentOnlyOnceItStandsInTheJournal() {
        // An owner dies right after it has sent a start. If nothing tells the next owner of it, and
        // the worker is cut off just then, the task is started a second time elsewhere.
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 8);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));

        Decisions first = owner.decide();
        Decisions second = owner.decide();
        owner.record(first.planned());

        assertEquals(first.planned().size(), 1);
        assertTrue(first.starts().isEmpty());
        assertTrue(second.starts().isEmpty());
        assertEquals(owner.decide().starts().size(), 1);
    }

    @Test
    public void aTaskOfASilentWorkerStartsElsewhereOnlyAfterItsLease() {
        // A worker is cut off and runs on. Started elsewhere at once, the task would run twice.
        Owner owner = new Owner();
        WorkerState cut = owner.worker("w1", "surveys", 8);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        owner.place();
        owner.worker("w2", "surveys", 8);

        owner.mScheduler.lookFailed(cut);
        owner.mNowMs += Owner.LIMITS.leaseMs();
        assertTrue(owner.mScheduler.takeLapsed(owner.mNowMs).isEmpty());
        assertTrue(owner.place().isEmpty());

        owner.mNowMs += Owner.LIMITS.surelyLapsedMs();
        assertEquals(owner.mScheduler.takeLapsed(owner.mNowMs).size(), 1);
        List<TaskRun> again = owner.place();
        assertEquals(again.get(0).worker().id(), "w2");
        assertEquals(again.get(0).attempt(), 2);
    }

    @Test
    public void aLeaseDoesNotGrowWithTheAgeOfTheClockReadingThatItIsCountedBy() {
        // The answers of a worker are lost for a minute while orders reach it. Its clock is 2%
        // slow:
        // by now it is 1.2 s behind what was read from it, and a lease that ends at a time of that
        // clock lasts so much longer than its owner, or a successor, waits for.
        Owner owner = new Owner();
        WorkerState worker = owner.worker("w1", "surveys", 8);
        long lease = Owner.LIMITS.leaseMs();
        long atContact = worker.leaseUntilMs(owner.mNowMs, lease);

        owner.mNowMs += 60_000;
        double elapsedThere = 60_000 * 0.98;
        double left = worker.leaseUntilMs(owner.mNowMs, lease) - (atContact - lease) - elapsedThere;

        assertTrue(left / 0.98 <= Owner.LIMITS.surelyLapsedMs(), "lasts " + left / 0.98 + " ms");
    }

    @Test
    public void aStartWithoutAnswerIsRepeatedAndNotMovedElsewhere() {
        // A start may be carried out seconds after its answer was lost. Given to another worker
        // meanwhile, the task would run twice; the same start again is harmless.
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 8);
        owner.worker("w2", "surveys", 8);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        owner.record(owner.decide().planned());
        TaskRun run = owner.decide().starts().get(0).run();
        owner.mScheduler.startAnswered(run, OrderOutcome.UNANSWERED, owner.mNowMs);
        owner.mNowMs += 300;

        Decisions decisions = owner.decide();

        assertTrue(decisions.planned().isEmpty());
        assertEquals(decisions.starts().get(0).run(), run);
        owner.mScheduler.startAnswered(run, OrderOutcome.NO_ROOM, owner.mNowMs);
        assertEquals(owner.decide().stops(), List.of(run), "it may begin until a stop forbids it");
    }

    @Test
    public void aStepWaitsForAllThatItDependsOn() {
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 8);
        owner.accept(
                Owner.order(
                        JOB,
                        "surveys",
                        0,
                        Owner.step(2, 1, 1000, List.of()),
                        Owner.step(1, 1, 1000, List.of(0))));

        List<TaskRun> first = owner.place();
        owner.end(first.get(0), RunOutcome.DONE, 1);
        List<TaskRun> between = owner.place();
        owner.end(first.get(1), RunOutcome.DONE, 2);
        List<TaskRun> second = owner.place();

        assertEquals(first.size(), 2);
        assertTrue(between.isEmpty());
        assertEquals(second.size(), 1);
        assertEquals(second.get(0).slot().name().step(), 1);
    }

    @Test
    public void aTaskThatFailedAsOftenAsItMayEndsItsJob() {
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 8);
        JobEntry job =
                owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(2, 1, 1000, List.of())));
        List<TaskRun> runs = owner.place();
        owner.end(runs.get(0), RunOutcome.FAILED, 1);
        TaskRun again = owner.place().get(0);
        owner.end(again, RunOutcome.FAILED, 2);

        assertEquals(job.phase(), JobPhase.FAILED);
        assertTrue(owner.place().isEmpty());
        assertEquals(runs.get(1).phase(), RunPhase.STOPPING);
    }

    @Test
    public void aCancelledJobIsStoppedAndStartsNothing() {
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 1);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(2, 1, 1000, List.of())));
        TaskRun run = owner.place().get(0);
        owner.mBook.apply(new JobCancelled(JOB, Owner.WALL_MS));
        owner.mScheduler.jobEnded(JOB, owner.mNowMs);

        Decisions decisions = owner.decide();

        assertEquals(decisions.stops(), List.of(run));
        assertTrue(decisions.planned().isEmpty());
    }

    @Test
    public void aGangStartsAsAWholeOrNotAtAll() {
        // Two gangs of which each has half of the room wait for each other until both give up.
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 3);
        TaskStep gang =
                new TaskStep(
                        4,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementRule(true, false, "", "", 0),
                        RunMode.PLAIN);
        owner.accept(Owner.order(JOB, "surveys", 0, gang));

        assertTrue(owner.place().isEmpty());
        owner.worker("w2", "surveys", 1);
        List<TaskRun> members = owner.place();
        assertEquals(members.size(), 4);
        assertEquals(members.stream().map(TaskRun::attempt).distinct().count(), 1);
    }

    @Test
    public void aDrainingWorkerGetsNoTask() {
        Owner owner = new Owner();
        WorkerState worker = owner.worker("w1", "surveys", 8);
        WorkerInfo i = worker.info();
        owner.mScheduler.worker(
                new WorkerInfo(
                        i.id(),
                        i.service(),
                        i.address(),
                        i.zone(),
                        i.capacity(),
                        Set.of(),
                        "r1",
                        true),
                owner.mNowMs);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));

        assertTrue(owner.place().isEmpty());
    }

    @Test
    public void aTaskKeepsToItsServiceLabelAndSpread() {
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 8);
        owner.worker("w2", "reports", 8);
        TaskStep labelled =
                new TaskStep(
                        1,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementRule(false, false, "b", "", 0),
                        RunMode.PLAIN);
        TaskStep spread =
                new TaskStep(
                        2,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementRule(false, false, "", "", 1),
                        RunMode.PLAIN);
        owner.accept(Owner.order(JOB, "surveys", 0, labelled));
        owner.accept(Owner.order(OTHER, "surveys", 0, spread));

        List<TaskRun> placed = owner.place();

        assertEquals(placed.size(), 1);
        assertEquals(placed.get(0).slot().name().job(), OTHER);
        assertEquals(placed.get(0).worker().id(), "w1");
    }

    @Test
    public void aWorkerIsNeverGivenMoreThanItOffers() {
        Owner owner = new Owner();
        WorkerState worker = owner.worker("w1", "surveys", 4);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(9, 3, 1000, List.of())));

        assertEquals(owner.place().size(), 1);
        assertEquals(worker.free().milliProcessors(), Owner.CORE);
        worker.runs().forEach(r -> r.stopping("test", owner.mNowMs));
        assertTrue(owner.place().isEmpty(), "what is being stopped still takes its room");
    }

    @Test
    public void aWorkerThatFailsTwoJobsIsLeftAlone() {
        // A worker fails all that it starts while its reports are good: it is always free, and
        // draws task after task until their attempts are used up.
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 1);
        for (String id : List.of(JOB, OTHER)) {
            owner.accept(Owner.order(id, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        }
        TaskRun first = owner.place().get(0);
        owner.end(first, RunOutcome.FAILED, 1);
        TaskRun second = owner.place().get(0);
        long sequence = 2;
        if (second.slot().name().job().equals(first.slot().name().job())) {
            owner.end(second, RunOutcome.FAILED, sequence++);
            second = owner.place().get(0);
        }
        owner.end(second, RunOutcome.FAILED, sequence);

        assertTrue(owner.place().isEmpty());
        assertNotEquals(first.slot().name().job(), second.slot().name().job());
    }

    @Test
    public void aRunThatStandsStillGoesToAnotherWorker() {
        // A worker takes tasks and does nothing, but answers as usual. Its job would wait for ever.
        Owner owner = new Owner();
        WorkerState still = owner.worker("w1", "surveys", 1);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        TaskRun run = owner.place().get(0);
        owner.worker("w2", "surveys", 1);
        RunView view = new RunView(run.slot().name(), 1, "", 10, 0);

        owner.lookAt(still, List.of(view), List.of());
        assertEquals(run.phase(), RunPhase.RUNNING);
        owner.mNowMs += 2500;
        owner.lookAt(still, List.of(view), List.of());

        assertEquals(run.phase(), RunPhase.STOPPING);
        assertTrue(owner.place().isEmpty(), "it starts elsewhere only when it has ended here");
        owner.end(run, RunOutcome.STOPPED, 1);
        assertEquals(owner.place().get(0).worker().id(), "w2");
    }

    @Test
    public void aRunThatTheWorkerDoesNotListIsStartedAgain() {
        Owner owner = new Owner();
        WorkerState worker = owner.worker("w1", "surveys", 1);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        owner.place();
        owner.mNowMs++;

        LookEffects effects = owner.lookAt(worker, List.of(), List.of());

        assertEquals(effects.lost().size(), 1);
        assertEquals(owner.place().get(0).attempt(), 2);
    }

    @Test
    public void aStandingTaskWithoutRoomStopsALessUrgentOne() {
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 2);
        owner.accept(Owner.order(JOB, "surveys", 1, Owner.step(2, 1, 9000, List.of())));
        List<TaskRun> batch = owner.place();
        owner.accept(Owner.order(OTHER, "surveys", 0, Owner.standing(1, 1, 1)));

        owner.place();
        assertFalse(batch.stream().anyMatch(r -> r.phase() == RunPhase.STOPPING));
        owner.mNowMs += 500;
        owner.decide();

        assertEquals(batch.stream().filter(r -> r.phase() == RunPhase.STOPPING).count(), 1);
    }

    @Test
    public void fillingTasksAreSlowedWhileAServingOneIsOverItsTarget() {
        // A serving task's users wait, because what fills its worker disturbs it.
        Owner owner = new Owner();
        WorkerState worker = owner.worker("w1", "surveys", 8);
        RunMode serves = new RunMode(false, true, false, false, 100, 1);
        RunMode fills = new RunMode(false, false, false, true, 0, 0);
        TaskStep serving =
                new TaskStep(
                        1, Resources.of(1, 1, 0), 500, List.of(), PlacementRule.ANYWHERE, serves);
        TaskStep filling =
                new TaskStep(
                        1, Resources.of(4, 1, 0), 900, List.of(), PlacementRule.ANYWHERE, fills);
        owner.accept(Owner.order(JOB, "surveys", 0, serving));
        owner.accept(Owner.order(OTHER, "surveys", 1, filling));
        List<TaskRun> runs = owner.place();
        RunView tail = new RunView(runs.get(0).slot().name(), 1, "", 100, 150);
        RunView work = new RunView(runs.get(1).slot().name(), 1, "", 20, 4000);

        owner.lookAt(worker, List.of(tail, work), List.of());
        List<Decisions.Pace> paces = owner.decide().paces();

        assertEquals(paces.size(), 1);
        assertEquals(paces.get(0).run(), runs.get(1));
        assertEquals(paces.get(0).percent(), 50);
    }
}
