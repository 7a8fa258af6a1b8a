package org.foxtailplank.soak;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.soak.SoakEvent.AskedAtEnd;
import org.foxtailplank.soak.SoakEvent.CapacityChanged;
import org.foxtailplank.soak.SoakEvent.ExecutedLate;
import org.foxtailplank.soak.SoakEvent.Started;
import org.foxtailplank.soak.SoakEvent.SubmitAnswer;
import org.foxtailplank.soak.SoakEvent.Submitted;
import org.foxtailplank.soak.SoakEvent.WorkerEnded;
import org.foxtailplank.soak.SoakEvent.WorkerStarted;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the checks of where tasks start, by what their workers are. */
public class PlacementPromiseTest {
    private static final SoakJob JOB =
            new SoakJob("00000000000000aa", "quick", List.of(3), 250, 1000, false)
                    .with(new SoakJob.Placement(Optional.of("kind-b"), 2));

    private List<SoakEvent> mEvents;

    @BeforeMethod
    public void setUp() {
        mEvents = new ArrayList<>();
        mEvents.add(new Submitted(1, JOB, 0));
        mEvents.add(new SubmitAnswer(2, JOB.id(), 0, 200));
        workerStarts(3, "quick", "kind-b", 8000);
    }

    private void workerStarts(long atMs, String pool, String kind, long processors) {
        mEvents.add(new WorkerStarted(atMs, "w", pool, kind, processors));
    }

    private void taskStarts(long atMs, int index) {
        mEvents.add(new Started(atMs, RunsSeen.task(JOB, 0, index), 1, "w", 1, JOB.text()));
    }

    private boolean isBroken(Promise promise) {
        return !promise.check(mEvents).isEmpty();
    }

    @Test
    public void aTaskMayStartOnAWorkerOfTheKindThatItRequires() {
        taskStarts(10, 0);
        taskStarts(10, 1);
        assertEquals(isBroken(Promise.ROUTE), false);
    }

    @Test
    public void aTaskMustNotStartOnAWorkerThatHasStartedAgainAsAnotherKind() {
        workerStarts(5, "quick", "kind-a", 8000);
        taskStarts(10, 0);
        assertEquals(isBroken(Promise.ROUTE), true);
    }

    @Test
    public void aTaskMustNotStartOnAWorkerOfAnotherPool() {
        workerStarts(5, "heavy", "kind-b", 8000);
        taskStarts(10, 0);
        assertEquals(isBroken(Promise.ROUTE), true);
    }

    @Test
    public void noMoreTasksOfAStepMayStartOnAWorkerThanItAllows() {
        taskStarts(10, 0);
        taskStarts(10, 1);
        taskStarts(10, 2);
        assertEquals(isBroken(Promise.ROUTE), true);
    }

    @Test
    public void aCommandThatIsExecutedLateMayBeMeantForTheFormerWorker() {
        workerStarts(5, "quick", "kind-a", 8000);
        mEvents.add(new ExecutedLate(10, RunsSeen.task(JOB, 0, 0), 1));
        taskStarts(10, 0);
        assertEquals(isBroken(Promise.ROUTE), false);
    }

    @Test
    public void aWorkerThatHasStartedAgainIsHeldToItsNewCapacityAtOnce() {
        mEvents.add(new CapacityChanged(4, "w", 8000));
        workerStarts(5, "quick", "kind-b", 1000);
        taskStarts(10, 0);
        assertEquals(isBroken(Promise.LIMIT), false);

        taskStarts(10, 1);
        assertEquals(isBroken(Promise.LIMIT), true);
    }

    @Test
    public void aJobMayWaitAtTheEndWhileNoWorkerIsOfTheKindThatItRequires() {
        mEvents.add(new AskedAtEnd(20_000, JOB.id(), 0, 200, "pending"));
        assertEquals(isBroken(Promise.LOST), true);

        mEvents.add(3, new WorkerEnded(4, "w"));
        mEvents.add(4, new WorkerStarted(10, "x", "quick", "kind-a", 8000));
        assertEquals(isBroken(Promise.LOST), false);
    }
}
