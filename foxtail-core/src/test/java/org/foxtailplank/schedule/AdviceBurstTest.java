package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.PlacementAdvisor.Advice;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a queue recovers from bursts and failures of the placement advice service. */
public class AdviceBurstTest {
    private static final long BASE_MS = 40;
    private static final long PER_WORKER_MS = 4;
    private static final long VALID_MS = 3000;
    private static final long WORK_MS = 1000;
    private static final int MAX_QUEUED = 32;
    private static final int TICK_MS = 20;
    private static final Advice FAILED = new Advice(false, Map.of(), 0);

    private OwnerHarness mOwner;
    private FakeService mService;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
    private final List<JobProgress> mJobs = new ArrayList<>();
    private final Map<TaskRun, Long> mEndsMs = new HashMap<>();
    private Set<String> mAllowed;
    private long mSequence;
    private int mTickets;

    private record Event(long atMs, Runnable action) {}

    /** A request to the service, which gets one answer: the service's or a failure. */
    private final class Call {
        final Decisions.AdviceRequest mRequest;
        private boolean mAnswered;

        Call(Decisions.AdviceRequest request) {
            mRequest = request;
        }

        void answer(Advice advice) {
            if (!mAnswered) {
                mAnswered = true;
                mOwner.mScheduler.adviceAnswered(mRequest, advice, mOwner.mNowMs);
            }
        }
    }

    /** Handles one request at a time, also those whose caller no longer waits. */
    private final class FakeService {
        private final Deque<Call> mQueue = new ArrayDeque<>();
        private long mFactor = 1;
        private int mLargestQueue;
        private int mRequests;
        private int mMostWorkers;
        private boolean mBusy;

        void ask(Decisions.AdviceRequest request) {
            mRequests++;
            mMostWorkers = Math.max(mMostWorkers, request.workers().size());
            Call call = new Call(request);
            after(request.timeoutMs(), () -> call.answer(FAILED));
            if (mQueue.size() >= MAX_QUEUED) {
                after(1, () -> call.answer(FAILED));
                return;
            }
            mQueue.add(call);
            mLargestQueue = Math.max(mLargestQueue, mQueue.size());
            handleNext();
        }

        private void handleNext() {
            if (mBusy || mQueue.isEmpty()) {
                return;
            }
            mBusy = true;
            Call call = mQueue.poll();
            after(
                    mFactor * (BASE_MS + PER_WORKER_MS * call.mRequest.workers().size()),
                    () -> {
                        mBusy = false;
                        call.answer(advice(call.mRequest));
                        handleNext();
                    });
        }
    }

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mService = new FakeService();
        mAllowed = Set.of("w1", "w4");
        mEvents.clear();
        mJobs.clear();
        mEndsMs.clear();
        for (int w = 0; w < 6; w++) {
            mOwner.addWorker("w" + w, "surveys", 64);
        }
    }

    private void after(long delayMs, Runnable action) {
        mEvents.add(new Event(mOwner.mNowMs + delayMs, action));
    }

    private Advice advice(Decisions.AdviceRequest request) {
        Map<String, String> tickets = new HashMap<>();
        for (WorkerIncarnation w : request.workers()) {
            if (mAllowed.contains(w.id())) {
                tickets.put(w.id(), "ticket-" + ++mTickets);
            }
        }
        return new Advice(true, tickets, VALID_MS);
    }

    private void accept(String service) {
        mJobs.add(
                mOwner.accept(
                        OwnerHarness.withAdvice(
                                OwnerHarness.definition(
                                        String.format("%016x", mJobs.size()),
                                        service,
                                        0,
                                        OwnerHarness.step(4, 1, WORK_MS, List.of()),
                                        OwnerHarness.step(4, 1, WORK_MS, List.of(0))),
                                BASE_MS,
                                PER_WORKER_MS,
                                VALID_MS)));
    }

    private void runFor(long ms, long jobIntervalMs) {
        long untilMs = mOwner.mNowMs + ms;
        long nextJobMs = mOwner.mNowMs;
        while (mOwner.mNowMs < untilMs) {
            mOwner.mNowMs += TICK_MS;
            while (!mEvents.isEmpty() && mEvents.peek().atMs() <= mOwner.mNowMs) {
                mEvents.poll().action().run();
            }
            if (jobIntervalMs > 0 && mOwner.mNowMs >= nextJobMs) {
                accept("surveys");
                nextJobMs += jobIntervalMs;
            }
            endRuns();
            Decisions decisions = mOwner.decide();
            mOwner.recordStarts(decisions.planned());
            decisions.starts().forEach(this::start);
            decisions.adviceRequests().forEach(mService::ask);
        }
    }

    private void start(Decisions.Start start) {
        start.run().recordStartSent(mOwner.mNowMs);
        mOwner.mScheduler.startAnswered(start.run(), CommandOutcome.DONE, mOwner.mNowMs);
        mEndsMs.put(start.run(), mOwner.mNowMs + WORK_MS);
    }

    private void endRuns() {
        for (TaskRun r : List.copyOf(mEndsMs.keySet())) {
            if (mEndsMs.get(r) <= mOwner.mNowMs) {
                mEndsMs.remove(r);
                end(r);
            }
        }
    }

    /** Lists the end of a run beside the runs that its worker was told to start. */
    private void end(TaskRun run) {
        List<RunStatus> running = new ArrayList<>();
        for (TaskRun r : run.worker().runs()) {
            if (mEndsMs.containsKey(r)) {
                running.add(new RunStatus(r.task().name(), r.attempt(), "", 100, 0));
            }
        }
        RunEnd end = new RunEnd(++mSequence, run.task().name(), run.attempt(), RunOutcome.DONE, "");
        mOwner.storeEnds(mOwner.pollListing(run.worker(), running, List.of(end)).toStore());
        run.worker().endStore();
    }

    private long openJobs() {
        return mJobs.stream().filter(j -> !j.phase().isFinal()).count();
    }

    @Test
    public void aQueueWithAdviceRecoversFromABurst() {
        // Guards against a service that is kept overloaded by repeated requests after a burst.
        runFor(6000, 300);
        runFor(6000, 60);
        runFor(15_000, 300);
        runFor(14_000, 0);

        assertEquals(openJobs(), 0);
        assertTrue(mService.mLargestQueue <= 1, mService.mLargestQueue + " requests waited");
    }

    @Test
    public void aServiceThatIsSlowerThanStatedIsNotAskedInVain() {
        // Guards against a timeout that no answer of a slowed-down service can meet.
        mService.mFactor = 40;
        accept("surveys");
        accept("surveys");
        runFor(40_000, 0);

        assertEquals(openJobs(), 0);
        assertTrue(mService.mRequests <= 6, mService.mRequests + " requests");
    }

    @Test
    public void aServiceThatRejectsRequestsIsAskedAfterGrowingPauses() {
        // Guards against a refusal that is followed by the next request at once.
        accept("surveys");
        int requests = 0;
        for (int ms = 0; ms < 60_000; ms += TICK_MS) {
            mOwner.mNowMs += TICK_MS;
            for (Decisions.AdviceRequest r : mOwner.decide().adviceRequests()) {
                requests++;
                mOwner.mScheduler.adviceAnswered(r, FAILED, mOwner.mNowMs);
            }
        }

        assertTrue(requests >= 60_000 / 5100, requests + " requests");
        assertTrue(requests <= 35, requests + " requests");
    }

    @Test
    public void allWorkersOfALargePoolAreAskedAboutInParts() {
        // Guards against requests that name more workers than the service takes.
        for (int w = 6; w < 250; w++) {
            mOwner.addWorker("w" + w, "surveys", 64);
        }
        mAllowed = Set.of("w249");
        accept("surveys");
        runFor(10_000, 0);

        assertEquals(openJobs(), 0);
        assertTrue(mService.mMostWorkers <= 100, mService.mMostWorkers + " workers in a request");
    }

    @Test
    public void servicesTakeTurnsAtTheAdviceService() {
        // Guards against a service whose steps wait behind the backlog of another one.
        mOwner.addWorker("x1", "reports", 64);
        mAllowed = Set.of("w1", "w4", "x1");
        for (int i = 0; i < 100; i++) {
            accept("surveys");
        }
        accept("reports");
        JobProgress other = mJobs.get(100);
        runFor(2 * WORK_MS + 1000, 0);

        assertTrue(other.phase().isFinal());
        assertTrue(openJobs() > 0);
    }

    @Test
    public void aStepThatCanStartIsAskedForBeforeOneThatWaitsForRoom() {
        // Guards against tickets that expire unused while a step that could start waits.
        for (int w = 0; w < 6; w++) {
            mOwner.mScheduler.removeWorker(
                    mOwner.mScheduler.worker("w" + w).get(),
                    WorkerEndReason.OTHER_INCARNATION,
                    mOwner.mNowMs);
        }
        mOwner.addWorker("w1", "surveys", 2);
        JobProgress large =
                mOwner.accept(
                        OwnerHarness.withAdvice(
                                OwnerHarness.definition(
                                        "00000000000000ff",
                                        "surveys",
                                        0,
                                        OwnerHarness.step(1, 3, 100, List.of())),
                                BASE_MS,
                                PER_WORKER_MS,
                                VALID_MS));
        JobProgress small =
                mOwner.accept(
                        OwnerHarness.withAdvice(
                                OwnerHarness.definition(
                                        "00000000000000ee",
                                        "surveys",
                                        1,
                                        OwnerHarness.step(1, 1, 9000, List.of())),
                                BASE_MS,
                                PER_WORKER_MS,
                                VALID_MS));

        Decisions.AdviceRequest request = mOwner.decide().adviceRequests().get(0);

        assertEquals(request.job(), small.definition().id());
        assertTrue(!large.phase().isFinal());
    }
}
