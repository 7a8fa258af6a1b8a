package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.PlacementAdvisor.Advice;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that steps of queues with placement advice survive the expiry of their tickets. */
public class TicketExpiryTest {
    private static final String JOB = "00000000000000aa";
    private static final long VALID_MS = 3000;
    private static final Set<String> ALLOWED = Set.of("w1", "w2");

    private OwnerHarness mOwner;
    private int mIssuedTickets;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mIssuedTickets = 0;
        mOwner.addWorker("w1", "surveys", 1);
        mOwner.addWorker("w2", "surveys", 1);
        mOwner.addWorker("w3", "surveys", 1);
    }

    private void accept(TaskStep... steps) {
        mOwner.accept(
                OwnerHarness.withAdvice(
                        OwnerHarness.definition(JOB, "surveys", 0, steps), 5, 1, VALID_MS));
    }

    private static TaskStep gang(int tasks) {
        return new TaskStep(
                tasks,
                Resources.of(1, 1, 0),
                1000,
                List.of(),
                new PlacementConstraints(true, false, "", "", 0),
                RunMode.PLAIN);
    }

    private Decisions decide() {
        mOwner.mNowMs += 300;
        return mOwner.decide();
    }

    /** Answers the only request of a decision; returns the workers that it names. */
    private List<String> answer(Decisions decisions, Set<String> allowed) {
        assertEquals(decisions.adviceRequests().size(), 1);
        Decisions.AdviceRequest request = decisions.adviceRequests().get(0);
        List<String> asked = request.workers().stream().map(WorkerIncarnation::id).toList();
        Map<String, String> tickets = new HashMap<>();
        for (String worker : asked) {
            if (allowed.contains(worker)) {
                tickets.put(worker, "ticket-" + ++mIssuedTickets);
            }
        }
        mOwner.mScheduler.adviceAnswered(
                request, new Advice(true, tickets, VALID_MS), mOwner.mNowMs);
        return asked;
    }

    /** Plans the starts of the job's step with valid tickets. */
    private List<TaskRun> plan() {
        answer(decide(), ALLOWED);
        List<TaskRun> planned = decide().planned();
        assertFalse(planned.isEmpty());
        return planned;
    }

    private void expireTickets() {
        mOwner.mNowMs += VALID_MS;
    }

    @Test
    public void aStartRecordedAfterItsTicketExpiredIsSentWithANewTicket() {
        // Guards against a step that is never started again after a store outage between its
        // tickets and the record of its starts.
        accept(OwnerHarness.step(1, 1, 1000, List.of()));
        List<TaskRun> planned = plan();
        expireTickets();
        mOwner.recordStarts(planned);

        Decisions held = decide();
        assertTrue(held.starts().isEmpty(), "sent without a valid ticket");
        List<String> asked = answer(held, ALLOWED);
        List<Decisions.Start> starts = decide().starts();

        assertEquals(asked, List.of(planned.get(0).worker().id()));
        assertEquals(starts.size(), 1);
        assertEquals(starts.get(0).run(), planned.get(0));
        assertEquals(starts.get(0).ticket(), "ticket-" + mIssuedTickets);
    }

    @Test
    public void aStartDoesNotLeaveWithATicketThatExpiresOnItsWay() {
        // Guards against a start whose ticket expires between the owner and the worker.
        accept(OwnerHarness.step(1, 1, 1000, List.of()));
        mOwner.recordStarts(plan());
        mOwner.mNowMs += VALID_MS - 320 - 20;

        assertTrue(mOwner.decide().starts().isEmpty());
    }

    @Test
    public void aWorkerThatRejectsATicketIsAskedAboutAgain() {
        // Guards against a rejected ticket that counts as a denial for good.
        accept(OwnerHarness.step(1, 1, 1000, List.of()));
        mOwner.recordStarts(plan());
        TaskRun run = decide().starts().get(0).run();
        mOwner.mScheduler.startAnswered(run, CommandOutcome.NO_TICKET, mOwner.mNowMs);
        expireTickets();

        List<String> asked = answer(decide(), ALLOWED);
        List<TaskRun> planned = decide().planned();

        assertTrue(asked.contains(run.worker().id()));
        assertFalse(asked.contains("w3"), "asked again about a worker that was denied");
        assertEquals(planned.size(), 1);
    }

    @Test
    public void aStartThatAFullLinkDelaysIsSentWithANewTicket() {
        // Guards against a start that leaves with a ticket that expired while it was delayed.
        accept(OwnerHarness.step(1, 1, 1000, List.of()));
        mOwner.recordStarts(plan());
        Decisions.Start first = decide().starts().get(0);
        mOwner.mScheduler.retryStart(first.run());
        expireTickets();

        Decisions held = decide();
        assertTrue(held.starts().isEmpty(), "sent without a valid ticket");
        answer(held, ALLOWED);
        Decisions.Start second = decide().starts().get(0);

        assertEquals(second.run(), first.run());
        assertNotEquals(second.ticket(), first.ticket());
    }

    @Test
    public void anUnansweredStartIsRepeatedWithANewTicket() {
        // Guards against a start that is repeated with an expired ticket, and then given up.
        accept(OwnerHarness.step(1, 1, 1000, List.of()));
        mOwner.recordStarts(plan());
        Decisions.Start first = decide().starts().get(0);
        mOwner.mScheduler.startAnswered(first.run(), CommandOutcome.UNANSWERED, mOwner.mNowMs);
        expireTickets();

        Decisions held = decide();
        assertTrue(held.starts().isEmpty(), "sent without a valid ticket");
        answer(held, ALLOWED);

        assertEquals(decide().starts().get(0).run(), first.run());
    }

    @Test
    public void aGangIsHeldUntilAllItsMembersHaveTickets() {
        // Guards against members that start and give up, as another one's ticket has expired.
        accept(gang(2));
        List<TaskRun> planned = plan();
        mOwner.recordStarts(planned);
        planned.get(0).task().step().discardTicket(planned.get(1).worker().incarnation());

        Decisions held = decide();
        assertTrue(held.starts().isEmpty(), "sent a part of a gang");
        List<String> asked = answer(held, ALLOWED);

        assertEquals(asked, List.of(planned.get(1).worker().id()));
        assertEquals(decide().starts().size(), 2);
    }

    @DataProvider
    public Object[][] remainingMembers() {
        return new Object[][] {{"w1"}, {"w2"}};
    }

    @Test(dataProvider = "remainingMembers")
    public void aGangIsWithdrawnWhenAMemberIsDeniedATicket(String allowed) {
        // Guards against a gang that waits for a member that never starts.
        accept(gang(2));
        List<TaskRun> planned = plan();
        expireTickets();
        mOwner.recordStarts(planned);
        answer(decide(), Set.of(allowed));

        Decisions after = decide();

        assertTrue(after.starts().isEmpty());
        for (TaskRun r : planned) {
            assertTrue(r.task().isWaiting(), r.task().name() + " still has a run");
        }
    }

    @Test
    public void theNextOwnerRequestsTicketsForStepsThatItsPredecessorHadTicketsFor() {
        // Guards against a step that waits for tickets that only the former owner held.
        accept(OwnerHarness.step(2, 1, 1000, List.of()));
        mOwner.recordStarts(plan());

        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mNowMs = mOwner.mNowMs;
        for (String id : List.of("w1", "w2", "w3")) {
            next.mScheduler.updateWorker(OwnerHarness.info(id, "surveys", 1), next.mNowMs);
        }
        mOwner.mRegistry
                .jobs()
                .forEach(j -> next.mScheduler.addInheritedJob(j, w -> false, next.mNowMs));
        for (WorkerState w : List.copyOf(next.mScheduler.workers())) {
            next.pollListing(w, List.of(), List.of());
        }
        mOwner = next;

        answer(decide(), ALLOWED);

        assertEquals(decide().planned().size(), 2);
    }

    @Test
    public void aWorkerThatStartsAgainUnderItsIdIsAskedAboutAgain() {
        // Guards against advice on a former incarnation, which the next one doesn't accept.
        accept(OwnerHarness.step(1, 1, 1000, List.of()));
        TaskRun run = plan().get(0);
        WorkerState former = run.worker();
        mOwner.mScheduler.removeWorker(former, WorkerEndReason.STARTED_AGAIN, mOwner.mNowMs);
        WorkerState next =
                mOwner.mScheduler.addNextIncarnation(former, 1_700_000_000_000L, mOwner.mNowMs);
        mOwner.poll(next);

        assertEquals(
                run.task().step().advice(next.incarnation()).verdict(),
                WorkerAdvice.Verdict.NOT_ASKED);
        assertTrue(run.task().step().advice(next.incarnation()).mayAsk(mOwner.mNowMs));
    }

    @Test
    public void aTaskThatFailedIsStartedAgainAfterItsTicketExpired() {
        // Guards against a step whose later attempts find no worker, as its tickets have expired.
        accept(OwnerHarness.step(1, 1, 1000, List.of()));
        mOwner.recordStarts(plan());
        TaskRun run = decide().starts().get(0).run();
        mOwner.mScheduler.startAnswered(run, CommandOutcome.DONE, mOwner.mNowMs);
        expireTickets();
        mOwner.endRun(run, RunOutcome.FAILED, 1);

        answer(decide(), ALLOWED);

        assertEquals(decide().planned().size(), 1);
    }
}
