package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.testng.annotations.Test;

/** Tests answers to polls that arrive seconds after they were made, or out of order. */
public class DelayedAnswerTest {
    private static final String JOB = "00000000000000aa";
    private static final long CLOCK_AHEAD_MS = 5000;

    private static PollResponse response(long clockMs, RunStatus... running) {
        return new PollResponse(
                CommandOutcome.DONE,
                WorkerIncarnation.UNKNOWN_START_MS,
                clockMs,
                List.of(running),
                List.of());
    }

    private static TaskRun startRun(OwnerHarness owner) {
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 60_000, List.of())));
        return owner.placeTasks().get(0);
    }

    private static RunStatus status(TaskRun run) {
        return new RunStatus(run.task().name(), run.attempt(), "", 50, 0);
    }

    /** Guards against leases that delayed answers shorten until healthy runs lapse. */
    @Test
    public void aLateAnswerDoesNotShortenLeases() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        long offsetMs = worker.leaseUntilMs(owner.mNowMs, 0) - owner.mNowMs;

        long sentMs = owner.mNowMs;
        owner.mNowMs += 3000;
        owner.mScheduler.pollAnsweredLate(
                worker, response(sentMs + offsetMs + 10), sentMs, owner.mNowMs);

        long remainingMs = worker.leaseUntilMs(owner.mNowMs, 1000) - owner.mNowMs - offsetMs;
        assertTrue(remainingMs >= 1000 - 3000 * 0.04, "lasts " + remainingMs + " ms");
    }

    /** Guards against leases that outlast their bound on a worker whose clock was paused. */
    @Test
    public void anAnswerInTimeReplacesTheClockReading() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        long clockMs = worker.leaseUntilMs(owner.mNowMs, 0);

        long sentMs = owner.mNowMs;
        owner.mNowMs += 2000;
        clockMs += 2000 - 1900;
        owner.mScheduler.pollAnswered(worker, response(clockMs), sentMs, owner.mNowMs);

        assertEquals(worker.leaseUntilMs(owner.mNowMs, 1000) - clockMs, 1000);
    }

    /** Guards against leases that expire on a worker all of whose answers are late. */
    @Test
    public void aLateAnswerLetsOnePollRenewTheLease() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        long sentMs = owner.mNowMs;
        owner.mNowMs += 500;
        owner.mScheduler.pollFailed(worker, owner.mNowMs);
        owner.mNowMs += 1500;
        owner.mScheduler.pollAnsweredLate(
                worker, response(sentMs + CLOCK_AHEAD_MS), sentMs, owner.mNowMs);
        owner.mScheduler.pollFailed(worker, owner.mNowMs);

        worker.renewLease(owner.mNowMs, 6000);
        worker.recordPoll();
        long renewedMs = owner.mNowMs;
        owner.mNowMs += 500;
        worker.renewLease(owner.mNowMs, 6000);

        assertEquals(worker.leaseRenewedMs(), renewedMs);
    }

    /** Guards against healthy runs that are stopped as stalled. */
    @Test
    public void aRunIsNotStalledBecauseTheAnswerThatListsItIsLate() {
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 8);
        owner.addWorker("w2", "surveys", 8);
        TaskRun run = startRun(owner);
        WorkerState worker = run.worker();
        owner.mNowMs += 1000;
        long clockMs = CLOCK_AHEAD_MS + owner.mNowMs;
        owner.mScheduler.pollAnswered(
                worker, response(clockMs, status(run)), owner.mNowMs, owner.mNowMs);

        long sentMs = owner.mNowMs;
        owner.mNowMs += 2500;
        owner.mScheduler.pollAnsweredLate(
                worker, response(clockMs + 100, status(run)), sentMs, owner.mNowMs);

        assertEquals(run.phase(), RunPhase.RUNNING, run.stopReason());
        assertFalse(worker.isSlow(owner.mNowMs));
    }

    /** Guards against starts on a worker that has stopped answering since. */
    @Test
    public void anUnresponsiveWorkerGetsNoTasksBecauseOfALateAnswer() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        long sentMs = owner.mNowMs;
        owner.mNowMs += 1500;
        owner.mScheduler.pollFailed(worker, owner.mNowMs);

        owner.mNowMs += 4000;
        owner.mScheduler.pollAnsweredLate(
                worker, response(sentMs + CLOCK_AHEAD_MS + 1000), sentMs, owner.mNowMs);

        assertFalse(worker.isUsable(owner.mNowMs));
    }

    /** Guards against runs that are taken for lost since answers arrive out of order. */
    @Test
    public void anAnswerOlderThanTheLastOneIsIgnored() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        TaskRun run = startRun(owner);
        owner.mNowMs += 100;
        long clockMs = CLOCK_AHEAD_MS + owner.mNowMs;
        owner.mScheduler.pollAnswered(
                worker, response(clockMs, status(run)), owner.mNowMs, owner.mNowMs);

        owner.mNowMs += 500;
        PollResult late =
                owner.mScheduler.pollAnsweredLate(
                        worker, response(clockMs - 50), owner.mNowMs, owner.mNowMs);

        assertTrue(late.lost().isEmpty());
        assertTrue(worker.runs().contains(run));
    }
}
