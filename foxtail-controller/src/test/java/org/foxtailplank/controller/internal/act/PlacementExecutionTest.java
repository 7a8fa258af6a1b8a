package org.foxtailplank.controller.internal.act;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.JobCancelled;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.JobSubmitted;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;
import org.testng.annotations.Test;

/** Tasks run to completion, and no task runs twice at the same time. */
public class PlacementExecutionTest {
    private static final JobId JOB = JobId.of("assess");
    private static final int TASKS = 6;
    private static final long MEMORY = 1L << 30;
    private static final Predicate<FleetView> DONE = view -> ended(view) == TASKS;

    @Test
    public void runsEveryTaskOnce() {
        TestFleet fleet = new TestFleet();
        submit(fleet);
        fleet.runUntil(DONE, fleet.start("a-1", Interruption.none()));
        assertEquals(fleet.workers().starts(), TASKS);
    }

    /** Guards against a second start when the response to the first is lost. */
    @Test
    public void runsEveryTaskOnceThoughAnswersAreLost() {
        TestFleet fleet = new TestFleet();
        submit(fleet);
        fleet.workers().loseResponses(TASKS);
        fleet.runUntil(DONE, fleet.start("a-1", Interruption.none()));
        assertEquals(fleet.workers().starts(), TASKS);
    }

    /** Leases of tasks that outlast them are renewed in time. */
    @Test
    public void keepsLeasesOfLongTasks() {
        TestFleet fleet = new TestFleet();
        fleet.workers().setTaskTime(Duration.ofMinutes(3));
        submit(fleet);
        fleet.runUntil(DONE, fleet.start("a-1", Interruption.none()));
        assertEquals(fleet.workers().starts(), TASKS);
    }

    /** After an outage longer than a lease, tasks restart only once their leases have expired. */
    @Test
    public void startsTasksAgainOnlyAfterTheirLeasesHaveLapsed() {
        TestFleet fleet = new TestFleet();
        fleet.workers().setTaskTime(Duration.ofMinutes(1));
        TestController node = fleet.start("a-1", Interruption.none());
        submit(fleet);
        fleet.runUntil(view -> running(view) == TASKS, node);
        fleet.workers().setUnavailable(true);
        fleet.run(Duration.ofMinutes(2), node);
        fleet.workers().setUnavailable(false);
        fleet.runUntil(DONE, node);
        assertEquals(fleet.workers().overlappingRuns(), List.of());
        assertTrue(fleet.workers().starts() > TASKS, "no lease lapsed");
    }

    /** Guards against overlapping attempts after the controller dies before or after any call. */
    @Test
    public void runsNothingTwiceAfterAControllerDiedAtAnyStep() {
        int steps = 0;
        for (boolean afterEffect : new boolean[] {false, true}) {
            for (int call = 0; killedAt(call, afterEffect); call++) {
                steps++;
            }
        }
        assertTrue(steps > 20, "only " + steps + " steps");
    }

    private static boolean killedAt(int call, boolean afterEffect) {
        TestFleet fleet = new TestFleet();
        submit(fleet);
        Interruption kill = Interruption.killAt(call, afterEffect);
        TestController first = fleet.start("a-1", kill);
        fleet.runUntil(view -> kill.isDead() || DONE.test(view), first);
        if (!kill.isDead()) {
            return false;
        }
        fleet.silentNodes().add(NodeId.of("a-1"));
        fleet.runUntil(DONE, fleet.start("a-2", Interruption.none()));
        assertEquals(fleet.workers().overlappingRuns(), List.of());
        return true;
    }

    /** Guards against a late call of a paused controller that runs a finished task again. */
    @Test
    public void runsNothingTwiceForAControllerThatWasPausedAtAnyStep() {
        int steps = 0;
        for (boolean afterEffect : new boolean[] {false, true}) {
            for (int call = 0; pausedAt(call, afterEffect); call++) {
                steps++;
            }
        }
        assertTrue(steps > 20, "only " + steps + " steps");
    }

    private static boolean pausedAt(int call, boolean afterEffect) {
        TestFleet fleet = new TestFleet();
        submit(fleet);
        TestController[] second = new TestController[1];
        Runnable whilePaused =
                () -> {
                    fleet.silentNodes().add(NodeId.of("a-1"));
                    second[0] = fleet.start("a-2", Interruption.none());
                    fleet.runUntil(DONE, second[0]);
                    fleet.silentNodes().clear();
                };
        TestController first = fleet.start("a-1", Interruption.at(call, afterEffect, whilePaused));
        fleet.runUntil(DONE, first);
        if (second[0] == null) {
            return false;
        }
        fleet.run(TestFleet.SETTLING_TIME, first, second[0]);
        assertEquals(fleet.workers().overlappingRuns(), List.of());
        return true;
    }

    /** Tasks write a checkpoint and move before their VM is rebooted. */
    @Test
    public void movesTasksAwayBeforeTheirWorkerIsRebooted() {
        TestFleet fleet = new TestFleet();
        fleet.workers().setTaskTime(Duration.ofMinutes(5));
        TestController node = fleet.start("a-1", Interruption.none());
        submit(fleet);
        fleet.runUntil(view -> running(view) == TASKS, node);
        fleet.platform()
                .onStop(
                        vm ->
                                assertEquals(
                                        fleet.workers().running(VmId.of(vm)),
                                        0,
                                        vm + " has tasks"));
        fleet.startWave("w");
        fleet.runUntil(view -> view.vms().stream().allMatch(vm -> vm.lastMaintained() > 0), node);
        fleet.runUntil(DONE, node);
        assertEquals(fleet.workers().overlappingRuns(), List.of());
    }

    /**
     * Guards against overlapping attempts when a delayed start request reaches a worker that does
     * not know the task yet.
     */
    @Test
    public void waitsForAStartThatMayStillBeOnItsWay() {
        TestFleet fleet = new TestFleet();
        fleet.workers().setTaskTime(Duration.ofMinutes(1));
        TestController node = fleet.start("a-1", Interruption.none());
        fleet.run(Duration.ofSeconds(2), node);
        fleet.workers().delayStarts();
        submit(fleet);
        fleet.runUntil(view -> view.job(JOB).orElseThrow().tasks().size() == TASKS, node);
        fleet.startWave("w");
        fleet.run(Duration.ofSeconds(10), node);
        fleet.workers().deliverDelayedStarts();
        fleet.runUntil(DONE, node);
        assertEquals(fleet.workers().overlappingRuns(), List.of());
    }

    @Test
    public void stopsTheTasksOfACancelledJob() {
        TestFleet fleet = new TestFleet();
        fleet.workers().setTaskTime(Duration.ofHours(1));
        TestController node = fleet.start("a-1", Interruption.none());
        submit(fleet);
        fleet.runUntil(view -> running(view) == TASKS, node);
        ObjectKey key = ObjectKey.of(JOB);
        Change cancel = new JobCancelled(JOB, TestFleet.OPERATOR);
        assertTrue(fleet.submit(cancel, key, fleet.view().version(key)).isApplied());
        fleet.runUntil(view -> running(view) == 0, node);
        fleet.run(TestFleet.SETTLING_TIME, node);
        assertEquals(fleet.workers().starts(), TASKS);
    }

    private static void submit(TestFleet fleet) {
        JobSpec spec =
                new JobSpec(
                        TeamId.of("survey"),
                        PoolId.of("claims"),
                        RequestClass.BATCH,
                        1,
                        MEMORY,
                        0,
                        TASKS);
        Change change = new JobSubmitted(JOB, spec, TestFleet.OPERATOR);
        assertTrue(fleet.submit(change, ObjectKey.of(JOB), 0).isApplied());
    }

    private static long ended(FleetView view) {
        return count(view, TaskOutcome.SUCCEEDED);
    }

    private static long running(FleetView view) {
        return count(view, TaskOutcome.RUNNING);
    }

    private static long count(FleetView view, TaskOutcome outcome) {
        return view.job(JOB).map(JobState::tasks).orElseThrow().values().stream()
                .map(TaskState::outcome)
                .filter(o -> o.filter(outcome::equals).isPresent())
                .count();
    }
}
