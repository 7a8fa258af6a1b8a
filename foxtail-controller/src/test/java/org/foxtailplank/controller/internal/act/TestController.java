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
import org.foxtailplank.internal.control.VmWaits;

/** One controller process of a test: the loop of a zone over the fakes, stepped by hand. */
final class TestController implements Mailbox {
    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final Duration STAGGER = Duration.ofMillis(200);

    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private final FakeFleetLog.Follower mLog;
    private final ShardLoop mShardLoop;
    private final PlacementLoop mPlacementLoop;
    private final Interruption mInterruption;

    /**
     * Starts a process.
     *
     * @param name its name
     * @param life name of this life of it
     * @param fleet what it works with
     * @param interruption where it is interrupted
     */
    TestController(String name, String life, TestFleet fleet, Interruption interruption) {
        mInterruption = interruption;
        mLog = fleet.log().follow(interruption);
        NodeId self = NodeId.of(name);
        RecordWriter writer = new RecordWriter(self, life, mLog);
        Set<NodeId> silent = fleet.silentNodes();
        VmProcedure procedure = new VmProcedure(VmWaits.of(TestFleet.SETTINGS));
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
        ShardContext parts =
                new ShardContext(
                        mLog,
                        writer,
                        epochs,
                        new FleetPlanner(name, WavePlanner.byRack(), () -> buffer),
                        new FleetMonitor(fleet.clock()),
                        fleet.platform().directory(Interruption.none()),
                        runner,
                        fleet.clock());
        mShardLoop = new ShardLoop(TestFleet.ZONE, parts, this);
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

    /** Looks once and does all that follows from it, unless it is killed meanwhile. */
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
