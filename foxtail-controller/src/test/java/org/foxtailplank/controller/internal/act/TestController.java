package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.foxtailplank.controller.internal.place.PlacementContext;
import org.foxtailplank.controller.internal.place.PlacementLoop;
import org.foxtailplank.controller.internal.plan.FleetPlanner;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.VmProcedure;
import org.foxtailplank.internal.control.VmTimeouts;

/** A controller process over the fakes: the loops of a zone and of placement, run step by step. */
final class TestController implements Mailbox {
    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final Duration STAGGER = Duration.ofMillis(200);

    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private final FakeFleetLog.Follower mLog;
    private final ShardLoop mShardLoop;
    private final PlacementLoop mPlacementLoop;
    private final Interruption mInterruption;

    /**
     * Creates a controller.
     *
     * @param name name of the node
     * @param incarnation name of this run of the process
     * @param fleet the fleet
     * @param interruption interruption of its calls
     */
    TestController(String name, String incarnation, TestFleet fleet, Interruption interruption) {
        mInterruption = interruption;
        mLog = fleet.log().follow(interruption);
        NodeId self = NodeId.of(name);
        RecordWriter writer = new RecordWriter(self, incarnation, mLog);
        Set<NodeId> silent = fleet.silentNodes();
        VmProcedure procedure = new VmProcedure(VmTimeouts.of(TestFleet.SETTINGS));
        BufferPlanner buffer = BufferPlanner.byDemand(TestFleet.SETTINGS);
        VmStepExecutor runner =
                new VmStepExecutor(
                        fleet.platform().directory(interruption),
                        fleet.platform().actions(interruption),
                        fleet.platform().health(),
                        () -> procedure,
                        writer,
                        fleet.clock());
        EpochPolicy policy = new EpochPolicy(self, TestFleet.NODES, SILENCE, STAGGER);
        EpochContext epochs =
                new EpochContext(
                        self,
                        writer,
                        () -> policy,
                        node -> silent.contains(node) ? Duration.ofHours(1) : Duration.ZERO,
                        fleet.clock());
        ShardContext context =
                new ShardContext(
                        mLog,
                        writer,
                        epochs,
                        new FleetPlanner(name, WavePlanner.byRack(), () -> buffer),
                        new FleetMonitor(fleet.clock()),
                        fleet.platform().directory(Interruption.none()),
                        runner,
                        fleet.clock());
        mShardLoop = new ShardLoop(TestFleet.ZONE, context, this);
        mPlacementLoop =
                new PlacementLoop(
                        new PlacementContext(
                                fleet::settings,
                                PlacementSettings.standard(),
                                mLog,
                                writer,
                                fleet.workers().client(interruption),
                                epochs,
                                fleet.clock()),
                        this);
    }

    @Override
    public <T> void deliver(CompletionStage<T> stage, Consumer<Optional<T>> handler) {
        stage.whenComplete(
                (value, error) -> mQueue.add(() -> handler.accept(Optional.ofNullable(value))));
    }

    FakeFleetLog.Follower log() {
        return mLog;
    }

    /** Runs each loop once and handles all results, unless the controller is killed. */
    void reconcile() {
        try {
            runLoop(mShardLoop::reconcile);
            runLoop(mPlacementLoop::reconcile);
        } catch (Interruption.KilledError e) {
            mQueue.clear();
        }
    }

    private void runLoop(Runnable loop) {
        if (!mInterruption.isDead()) {
            loop.run();
        }
        while (!mQueue.isEmpty() && !mInterruption.isDead()) {
            mQueue.poll().run();
        }
    }
}
