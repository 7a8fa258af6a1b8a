package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which incarnation of a worker counts, and what becomes of starts on a former one. */
public class RestartedWorkersTest {
    private static final long FIRST_START_MS = 1_700_000_000_000L;
    private static final long SECOND_START_MS = FIRST_START_MS + 5000;
    private static final String JOB = "00000000000000aa";

    private OwnerHarness mOwner;
    private Scheduler mScheduler;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mScheduler = mOwner.mScheduler;
    }

    private static WorkerInfo info(long startMs) {
        return OwnerHarness.info(new WorkerIncarnation("w1", startMs), "surveys", 8, "a");
    }

    private WorkerState register(long startMs) {
        mScheduler.updateWorker(info(startMs), mOwner.mNowMs);
        return mScheduler.worker("w1").orElseThrow();
    }

    private AnswerSource source(WorkerState worker, long startMs, long sentMs) {
        PollResponse response =
                new PollResponse(CommandOutcome.DONE, startMs, 7, List.of(), List.of());
        return mScheduler.identify(worker, response, sentMs);
    }

    private TaskRun startWithoutAnswer() {
        mOwner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 500, List.of())));
        mOwner.recordStarts(mOwner.decide().planned());
        TaskRun run = mOwner.decide().starts().get(0).run();
        run.recordStartSent(mOwner.mNowMs);
        mScheduler.startAnswered(run, CommandOutcome.UNANSWERED, mOwner.mNowMs);
        return run;
    }

    private WorkerState registerAnswering(long startMs) {
        WorkerState worker = register(startMs);
        mOwner.poll(worker);
        return worker;
    }

    /**
     * Guards against a late start on an incarnation that registers after its task started again.
     */
    @Test
    public void anUnansweredStartIsStoppedOnAnIncarnationThatRegistersLater() {
        WorkerState first = registerAnswering(FIRST_START_MS);
        TaskRun run = startWithoutAnswer();
        mScheduler.removeWorker(first, WorkerEndReason.NOT_LISTED, mOwner.mNowMs);
        mOwner.mNowMs += 2000;
        WorkerState second = register(SECOND_START_MS);

        assertEquals(
                mScheduler.lateStarts(second, mOwner.mNowMs),
                List.of(new RunStatus(run.task().name(), 1, "", 0, 0)));
        assertEquals(mScheduler.lateStarts(second, mOwner.mNowMs + 20_000), List.of());
    }

    @Test
    public void anAnswerToALaterPollIsOfTheNextIncarnationWhateverItsStartTime() {
        WorkerState worker = registerAnswering(FIRST_START_MS);
        long now = mOwner.mNowMs;

        assertEquals(source(worker, FIRST_START_MS, now), AnswerSource.CURRENT);
        assertEquals(source(worker, SECOND_START_MS, now), AnswerSource.NEXT);
        assertEquals(source(worker, FIRST_START_MS - 1, now), AnswerSource.NEXT);
    }

    @Test
    public void anAnswerToAnEarlierPollIsJudgedByItsStartTime() {
        WorkerState worker = registerAnswering(SECOND_START_MS);
        long before = worker.lastAnswerMs() - 1;

        assertEquals(source(worker, FIRST_START_MS, before), AnswerSource.FORMER);
        assertEquals(source(worker, SECOND_START_MS + 1, before), AnswerSource.NEXT);
    }

    @Test
    public void anAnswerWithoutAStartTimeSaysNothingIfOthersHadOne() {
        WorkerState worker = registerAnswering(FIRST_START_MS);

        assertEquals(
                source(worker, WorkerIncarnation.UNKNOWN_START_MS, mOwner.mNowMs),
                AnswerSource.UNKNOWN);
    }

    @Test
    public void theStartTimeOfAWorkerThatHasNeverAnsweredIsLearnt() {
        WorkerState worker = register(WorkerIncarnation.UNKNOWN_START_MS);

        assertEquals(source(worker, FIRST_START_MS, mOwner.mNowMs), AnswerSource.CURRENT);
        assertEquals(worker.incarnation(), new WorkerIncarnation("w1", FIRST_START_MS));
        assertEquals(mScheduler.worker("w1").orElseThrow(), worker);
    }

    @Test
    public void aLaterEntryCausesAPollAndAFormerOneIsIgnored() {
        WorkerState worker = registerAnswering(SECOND_START_MS);

        assertFalse(mScheduler.updateWorker(info(FIRST_START_MS), mOwner.mNowMs));
        assertTrue(worker.isPolled());
        assertTrue(mScheduler.updateWorker(info(SECOND_START_MS + 1), mOwner.mNowMs));
        assertFalse(worker.isPolled());
        assertEquals(worker.incarnation().startMs(), SECOND_START_MS);
    }
}
