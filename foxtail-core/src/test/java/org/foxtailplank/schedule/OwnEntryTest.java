package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.PlacementAdvisor.Advice;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that each incarnation of a worker is judged by the entry that it registered itself. */
public class OwnEntryTest {
    private static final String W1 = "w1";
    private static final String SURVEYS = "surveys";
    private static final WorkerIncarnation FIRST = new WorkerIncarnation(W1, 1_700_000_000_000L);
    private static final WorkerIncarnation SECOND =
            new WorkerIncarnation(W1, FIRST.startMs() + 5000);

    /** Starts after FIRST by a clock that was set back. */
    private static final WorkerIncarnation CLOCK_SET_BACK =
            new WorkerIncarnation(W1, FIRST.startMs() - 5000);

    private OwnerHarness mOwner;
    private Scheduler mScheduler;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mScheduler = mOwner.mScheduler;
    }

    private static WorkerInfo entry(WorkerIncarnation incarnation, String... labels) {
        return OwnerHarness.info(incarnation, SURVEYS, 8, labels);
    }

    private static WorkerInfo draining(WorkerIncarnation incarnation) {
        WorkerInfo ready = entry(incarnation, "a");
        return new WorkerInfo(
                incarnation,
                ready.service(),
                ready.address(),
                ready.zone(),
                ready.capacity(),
                ready.labels(),
                ready.rack(),
                true);
    }

    private void read(WorkerInfo entry) {
        mScheduler.updateWorker(entry, mOwner.mNowMs);
    }

    private static PollResponse answer(WorkerIncarnation incarnation, long clockMs) {
        return new PollResponse(
                CommandOutcome.DONE, incarnation.startMs(), clockMs, List.of(), List.of());
    }

    /** Applies an answer to a poll of w1, as the owner does, of whichever incarnation. */
    private WorkerState answers(WorkerIncarnation incarnation) {
        WorkerState worker = mScheduler.worker(W1).orElseThrow();
        long sentMs = ++mOwner.mNowMs;
        long clockMs = 5000 + mOwner.mNowMs;
        PollResponse response = answer(incarnation, clockMs);
        if (mScheduler.identify(worker, response, sentMs) != AnswerSource.NEXT) {
            mScheduler.pollAnswered(worker, response, sentMs, ++mOwner.mNowMs);
            return worker;
        }
        WorkerEnd end =
                mScheduler.removeWorker(worker, WorkerEndReason.STARTED_AGAIN, mOwner.mNowMs);
        WorkerState next =
                mScheduler.addNextIncarnation(worker, incarnation.startMs(), mOwner.mNowMs);
        mScheduler.pollAnswered(next, response, sentMs, ++mOwner.mNowMs);
        mScheduler.stopFormerRuns(next, end.runs(), response, mOwner.mNowMs);
        return next;
    }

    private static TaskStep needing(String label, int tasks, int cores, int maxPerWorker) {
        return new TaskStep(
                tasks,
                Resources.of(cores, 1, 0),
                500,
                List.of(),
                new PlacementConstraints(false, false, label, "", maxPerWorker),
                RunMode.PLAIN);
    }

    private void accept(String id, TaskStep step) {
        mOwner.accept(OwnerHarness.definition(id, SURVEYS, 0, step));
    }

    private int planned() {
        return mOwner.decide().planned().size();
    }

    /** Guards against tasks on a worker of another kind than its former incarnation. */
    @Test
    public void aWorkerThatHasStartedAgainIsNotGivenTasksByItsFormerLabels() {
        read(entry(FIRST, "b"));
        answers(FIRST);
        answers(SECOND);
        accept("00000000000000aa", needing("b", 1, 1, 0));
        assertEquals(planned(), 0);

        read(entry(SECOND, "a"));
        assertEquals(planned(), 0);
    }

    /** Guards against a worker that stays unused although its own entry has been read. */
    @Test
    public void aWorkerThatHasStartedAgainIsGivenTasksOnceItHasRegistered() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        answers(SECOND);
        accept("00000000000000aa", needing("b", 1, 1, 0));
        read(entry(SECOND, "b"));

        assertEquals(planned(), 1);
    }

    /** Guards against tasks beyond the capacity of a smaller worker that doesn't reject them. */
    @Test
    public void aWorkerThatHasStartedAgainIsNotFilledByItsFormerCapacity() {
        mOwner.setServices(List.of(new ServiceConfig(SURVEYS, false, false)));
        read(OwnerHarness.info(FIRST, SURVEYS, 8, "a"));
        answers(FIRST);
        answers(SECOND);
        accept("00000000000000aa", needing("", 8, 1, 0));
        assertEquals(planned(), 0);

        read(OwnerHarness.info(SECOND, SURVEYS, 4, "a"));
        assertEquals(planned(), 4);
    }

    /** Guards against tasks on a worker that has joined the pool of another service. */
    @Test
    public void aWorkerThatHasStartedAgainIsNotGivenTasksOfItsFormerService() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        answers(SECOND);
        accept("00000000000000aa", needing("", 1, 1, 0));
        assertEquals(planned(), 0);

        read(OwnerHarness.info(SECOND, "reports", 8, "a"));
        assertEquals(planned(), 0);
    }

    /** Guards against placement by an entry of another incarnation that was read early. */
    @Test
    public void anEntryWaitsUntilTheIncarnationThatItNamesHasAnswered() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        read(entry(SECOND, "b"));
        answers(FIRST);
        accept("00000000000000aa", needing("b", 1, 1, 0));
        assertEquals(planned(), 0);

        answers(SECOND);
        assertEquals(planned(), 1);
    }

    /** Guards against an entry that is ignored for its start time, by a clock that was set back. */
    @Test
    public void anEntryWithAnEarlierStartTimeAppliesOnceItsIncarnationHasAnswered() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        read(entry(CLOCK_SET_BACK, "b"));
        answers(CLOCK_SET_BACK);
        accept("00000000000000aa", needing("b", 1, 1, 0));

        assertEquals(planned(), 1);
    }

    /** Guards against a former incarnation's entry with a later start time, by its clock. */
    @Test
    public void anEntryWithALaterStartTimeDoesNotApplyToTheIncarnationThatAnswers() {
        read(entry(FIRST, "b"));
        answers(FIRST);
        answers(CLOCK_SET_BACK);
        read(entry(CLOCK_SET_BACK, "a"));
        read(entry(FIRST, "b"));
        answers(CLOCK_SET_BACK);
        accept("00000000000000aa", needing("b", 1, 1, 0));
        assertEquals(planned(), 0);

        accept("00000000000000bb", needing("a", 1, 1, 0));
        assertEquals(planned(), 1);
    }

    /** Guards against an owner that has read the former incarnation's entry at its takeover. */
    @Test
    public void theFirstAnswerToANewOwnerMayBeOfAnotherIncarnationThanTheEntry() {
        read(entry(FIRST, "b"));
        answers(SECOND);
        accept("00000000000000aa", needing("b", 1, 1, 0));

        assertEquals(planned(), 0);
    }

    /** Guards against the same where records of a previous owner name the next incarnation. */
    @Test
    public void anIncarnationKnownFromRecordedStartsHasNoEntryOfAFormerOne() {
        JobDefinition definition =
                OwnerHarness.definition("00000000000000cc", SURVEYS, 0, needing("", 1, 1, 0));
        read(entry(SECOND, "a"));
        answers(SECOND);
        mOwner.accept(definition);
        mOwner.placeTasks();
        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mScheduler.updateWorker(entry(FIRST, "b"), next.mNowMs);
        next.mScheduler.addInheritedJob(
                mOwner.mRegistry.job(definition.id()).orElseThrow(), w -> false, next.mNowMs);
        mOwner = next;
        mScheduler = next.mScheduler;
        assertEquals(mScheduler.worker(W1).orElseThrow().incarnation(), SECOND);

        answers(SECOND);
        accept("00000000000000aa", needing("b", 1, 1, 0));
        assertEquals(planned(), 0);
    }

    /** Guards against an ended worker that counts as listed, although nobody polls it. */
    @Test
    public void anEndedIncarnationThatIsKnownAgainFromRecordedStartsIsNotListed() {
        read(entry(FIRST, "a"));
        WorkerState first = answers(FIRST);
        accept("00000000000000cc", needing("", 1, 1, 0));
        mOwner.placeTasks();
        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mScheduler.updateWorker(entry(FIRST, "a"), next.mNowMs);
        next.mScheduler.removeWorker(
                next.mScheduler.worker(W1).orElseThrow(), WorkerEndReason.NOT_LISTED, next.mNowMs);
        next.mScheduler.addInheritedJob(
                mOwner.mRegistry.job("00000000000000cc").orElseThrow(), w -> false, next.mNowMs);

        WorkerState inherited = next.mScheduler.worker(W1).orElseThrow();
        assertEquals(inherited.incarnation(), first.incarnation());
        assertFalse(inherited.registration().isListed());
    }

    /** Guards against an unreadable entry whose effect a former incarnation's entry ends. */
    @Test
    public void anEntryOfAFormerIncarnationDoesNotListAnUnlistedWorkerAgain() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        answers(CLOCK_SET_BACK);
        read(entry(CLOCK_SET_BACK, "a"));
        mScheduler.unlistWorker(W1);
        read(entry(FIRST, "a"));
        answers(CLOCK_SET_BACK);
        accept("00000000000000aa", needing("", 1, 1, 0));
        assertEquals(planned(), 0);

        read(entry(CLOCK_SET_BACK, "a"));
        assertEquals(planned(), 1);
    }

    /** Guards against a crash that blames nobody, as the former incarnation was draining. */
    @Test
    public void aCrashCountsAlthoughTheFormerIncarnationWasDraining() {
        read(draining(FIRST));
        answers(FIRST);
        WorkerState second = answers(SECOND);

        assertTrue(
                mScheduler
                        .removeWorker(second, WorkerEndReason.STARTED_AGAIN, mOwner.mNowMs)
                        .crashed());
    }

    /** Guards against a crash that blames nobody, as the next incarnation drains already. */
    @Test
    public void aCrashCountsAlthoughTheNextIncarnationIsDraining() {
        read(entry(FIRST, "a"));
        WorkerState first = answers(FIRST);
        read(draining(SECOND));

        assertTrue(
                mScheduler
                        .removeWorker(first, WorkerEndReason.STARTED_AGAIN, mOwner.mNowMs)
                        .crashed());
    }

    /** Guards against a worker whose runs are stopped as it exceeds a capacity that is unknown. */
    @Test
    public void aWorkerWithoutItsEntryIsNotOverCapacity() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        accept("00000000000000aa", needing("", 1, 1, 0));
        TaskRun run = startUnanswered();
        WorkerState second = answers(SECOND);

        assertEquals(second.runs().size(), 1);
        assertFalse(second.isOverCapacity());
        assertEquals(run.task().runs().size(), 1);
    }

    private TaskRun startUnanswered() {
        mOwner.recordStarts(mOwner.decide().planned());
        TaskRun run = mOwner.decide().starts().get(0).run();
        run.recordStartSent(mOwner.mNowMs);
        mScheduler.startAnswered(run, CommandOutcome.UNANSWERED, mOwner.mNowMs);
        return run;
    }

    /** Guards against a start that reaches the next incarnation, whose entry was read already. */
    @Test
    public void aStartWaitsUntilItsWorkerHasAnsweredAfterAnotherEntryWasRead() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        accept("00000000000000aa", needing("a", 1, 1, 0));
        mOwner.recordStarts(mOwner.decide().planned());
        read(entry(SECOND, "b"));
        assertEquals(mOwner.decide().starts(), List.of());

        answers(FIRST);
        assertEquals(mOwner.decide().starts().size(), 1);
    }

    /** Guards against a start that is sent again to whatever has replaced a silent worker. */
    @Test
    public void anUnansweredStartIsNotSentAgainUntilItsWorkerAnswers() {
        read(entry(FIRST, "a"));
        WorkerState first = answers(FIRST);
        accept("00000000000000aa", needing("a", 1, 1, 0));
        startUnanswered();
        mScheduler.pollFailed(first, mOwner.mNowMs);
        mOwner.mNowMs += 300;
        assertEquals(mOwner.decide().starts(), List.of());

        answers(SECOND);
        Decisions decisions = mOwner.decide();
        assertEquals(decisions.starts(), List.of());
        assertEquals(decisions.stops().size(), 1);
    }

    /** Guards against more tasks of a step than it allows on a worker that may start one late. */
    @Test
    public void aStartThatMayStillArriveCountsForTheTasksAllowedOnTheNextIncarnation() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        accept("00000000000000aa", needing("", 2, 1, 1));
        startUnanswered();
        WorkerState second = answers(SECOND);
        read(entry(SECOND, "a"));

        Decisions decisions = mOwner.decide();
        assertEquals(decisions.planned(), List.of());
        TaskRun stop = decisions.stops().get(0);
        mScheduler.stopAnswered(stop, CommandOutcome.DONE, mOwner.mNowMs);
        mOwner.mNowMs += 300;
        answers(SECOND);
        assertEquals(second.runs(), Set.of());
        assertEquals(planned(), 1);
    }

    /** Guards against a ticket for the incarnation that was asked about, used on the next one. */
    @Test
    public void aTicketThatArrivesAfterTheRestartIsNotOneOfTheNextIncarnation() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        JobDefinition plain =
                OwnerHarness.definition("00000000000000aa", SURVEYS, 0, needing("", 1, 1, 0));
        mOwner.accept(OwnerHarness.withAdvice(plain, 10, 1, 60_000));
        Decisions.AdviceRequest request = mOwner.decide().adviceRequests().get(0);
        answers(SECOND);
        read(entry(SECOND, "a"));
        mScheduler.adviceAnswered(
                request, new Advice(true, Map.of(W1, "ticket"), 60_000), mOwner.mNowMs);

        assertEquals(request.workers(), List.of(FIRST));
        assertEquals(planned(), 0);
    }

    private static VmInfo vm(String id, String worker) {
        return new VmInfo(id, SURVEYS, VmPhase.UP, worker, Resources.of(8, 1L << 40, 0));
    }

    /** Guards against capacity that no worker is known to have, and against none at all. */
    @Test
    public void aWorkerWithoutItsEntryIsNoCapacityButJoinsItsPool() {
        read(entry(FIRST, "a"));
        answers(FIRST);
        VmPlanner planner = new VmPlanner(mScheduler);
        planner.applyList(List.of(vm("vm1", W1)), mOwner.mNowMs);
        CapacitySnapshots snapshots = new CapacitySnapshots(mScheduler, planner);
        answers(SECOND);

        QueueCapacity capacity =
                snapshots
                        .of(List.of(SURVEYS), mOwner.mConfig, mOwner.mNowMs, OwnerHarness.WALL_MS)
                        .get(0);
        assertEquals(capacity.milliCores(), 0);
        assertEquals(capacity.freeMilliCores(), 0);
        assertEquals(
                capacity.joining().stream().mapToLong(QueueCapacity.Joining::milliCores).sum(),
                8000);
    }
}
