package org.foxtailplank.controller;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.foxtailplank.controller.internal.SettingsDerivedValue;
import org.foxtailplank.controller.internal.act.BackendHealthClient;
import org.foxtailplank.controller.internal.act.EpochContext;
import org.foxtailplank.controller.internal.act.FleetMonitor;
import org.foxtailplank.controller.internal.act.HttpBackendHealthClient;
import org.foxtailplank.controller.internal.act.LoopActor;
import org.foxtailplank.controller.internal.act.Mailbox;
import org.foxtailplank.controller.internal.act.RecordWriter;
import org.foxtailplank.controller.internal.act.ShardContext;
import org.foxtailplank.controller.internal.act.ShardLoop;
import org.foxtailplank.controller.internal.act.VmStepExecutor;
import org.foxtailplank.controller.internal.admin.AdminApi;
import org.foxtailplank.controller.internal.admin.AdminContext;
import org.foxtailplank.controller.internal.place.PlacementContext;
import org.foxtailplank.controller.internal.place.PlacementLoop;
import org.foxtailplank.controller.internal.plan.FleetPlanner;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.VmProcedure;
import org.foxtailplank.internal.control.VmTimeouts;
import org.foxtailplank.process.Log;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.settings.PeerSettings;
import org.foxtailplank.settings.Settings;

/** The control role of a process: one shard loop per availability zone, and the admin API. */
public final class Controller {
    private static final Log LOG = Log.of("control");
    private static final String DISPATCHER = "foxtail.control-dispatcher";
    private static final Duration HEALTH_TIMEOUT = Duration.ofSeconds(1);

    private final ActorSystem<?> mSystem;
    private final ControllerContext mContext;
    private final RecordWriter mWriter;
    private final InstantSource mClock = InstantSource.system();
    private final FleetMonitor mMonitor = new FleetMonitor(mClock);
    private final BackendHealthClient mBackendHealth;
    private final AdminApi mApi;
    private final List<ActorRef<LoopActor.Command>> mShards = new ArrayList<>();
    private final Set<ZoneId> mZones = new HashSet<>();
    private volatile Settings mSettings;

    private Controller(ActorSystem<?> system, ControllerContext context) {
        mSystem = system;
        mContext = context;
        // Record ids must stay unique across restarts of this node.
        String incarnation = UUID.randomUUID().toString();
        mWriter = new RecordWriter(context.self(), incarnation, context.log());
        mBackendHealth = new HttpBackendHealthClient(system, HEALTH_TIMEOUT);
        mSettings = context.settings();
        mApi =
                new AdminApi(
                        system,
                        new AdminContext(
                                context.self(),
                                context.log(),
                                mWriter,
                                this::settings,
                                context.peers(),
                                mMonitor,
                                ConfigurationChecker.standard(),
                                mClock));
        context.burn().ifPresent(burn -> mApi.addBurnEndpoints(burn, context.settings()));
    }

    /** Starts the shard loops and the API behind {@link #route()}. */
    public static Controller start(PekkoRuntime runtime, ControllerContext context) {
        Controller controller = new Controller(runtime.system(), context);
        controller.configure(context.settings());
        controller.startPlacement();
        LOG.info("Controller of node {0} started.", context.self());
        return controller;
    }

    /** Returns the administration API, to be served on the admin address. */
    public Route route() {
        return Directives.pathPrefix("v1", () -> Directives.handle(mApi::handle));
    }

    /** Applies new settings; starts a shard loop for each new zone. */
    public synchronized void configure(Settings settings) {
        mSettings = settings;
        settings.zones().keySet().stream().filter(mZones::add).forEach(this::startShard);
    }

    /** Stops the shard loops; pending work is left to the next controller. */
    public synchronized void stop() {
        for (ActorRef<LoopActor.Command> shard : mShards) {
            Adapter.toClassic(mSystem).stop(Adapter.toClassic(shard));
        }
        LOG.info("Controller of node {0} stopped.", mContext.self());
    }

    private void startShard(ZoneId zone) {
        ShardContext context = shardContext();
        startLoop(
                zone,
                mailbox -> new ShardLoop(zone, context, mailbox)::reconcile,
                ShardLoop.RECONCILE_INTERVAL);
    }

    private void startPlacement() {
        PlacementContext context =
                new PlacementContext(
                        this::settings,
                        PlacementSettings.standard(),
                        mContext.log(),
                        mWriter,
                        mContext.workers(),
                        epochContext(),
                        mClock);
        startLoop(
                PlacementLoop.SHARD,
                mailbox -> new PlacementLoop(context, mailbox)::reconcile,
                PlacementLoop.RECONCILE_INTERVAL);
    }

    private void startLoop(ZoneId shard, Function<Mailbox, Runnable> loop, Duration interval) {
        ActorRef<LoopActor.Command> actor =
                mSystem.systemActorOf(
                        LoopActor.of(loop, interval),
                        "control-" + mContext.self() + "-" + shard,
                        DispatcherSelector.fromConfig(DISPATCHER));
        mContext.log().onChange(() -> actor.tell(LoopActor.Reconcile.NOW));
        mShards.add(actor);
    }

    private ShardContext shardContext() {
        SettingsDerivedValue<BufferPlanner> buffer =
                new SettingsDerivedValue<>(this::settings, s -> BufferPlanner.byDemand(s.fleet()));
        SettingsDerivedValue<VmProcedure> procedure =
                new SettingsDerivedValue<>(
                        this::settings, s -> new VmProcedure(VmTimeouts.of(s.fleet())));
        return new ShardContext(
                mContext.log(),
                mWriter,
                epochContext(),
                new FleetPlanner(mContext.self().value(), WavePlanner.byRack(), buffer),
                mMonitor,
                mContext.directory(),
                new VmStepExecutor(
                        mContext.directory(),
                        mContext.actions(),
                        mBackendHealth,
                        procedure,
                        mWriter,
                        mClock),
                mClock);
    }

    private EpochContext epochContext() {
        return new EpochContext(
                mContext.self(),
                mWriter,
                new SettingsDerivedValue<>(this::settings, this::epochPolicy),
                mContext.peers(),
                mClock);
    }

    private EpochPolicy epochPolicy(Settings settings) {
        Map<NodeId, ZoneId> nodes =
                settings.nodes().entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().zone()));
        PeerSettings peers = settings.peers();
        return new EpochPolicy(mContext.self(), nodes, peers.silence(), peers.heartbeat());
    }

    private Settings settings() {
        return mSettings;
    }
}
