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
import org.foxtailplank.controller.internal.Derived;
import org.foxtailplank.controller.internal.act.BackendHealth;
import org.foxtailplank.controller.internal.act.EpochParts;
import org.foxtailplank.controller.internal.act.FleetWatch;
import org.foxtailplank.controller.internal.act.HttpBackendHealth;
import org.foxtailplank.controller.internal.act.LoopActor;
import org.foxtailplank.controller.internal.act.Mailbox;
import org.foxtailplank.controller.internal.act.RecordWriter;
import org.foxtailplank.controller.internal.act.ShardLoop;
import org.foxtailplank.controller.internal.act.ShardParts;
import org.foxtailplank.controller.internal.act.VmRunner;
import org.foxtailplank.controller.internal.admin.AdminApi;
import org.foxtailplank.controller.internal.admin.AdminParts;
import org.foxtailplank.controller.internal.place.PlacementLoop;
import org.foxtailplank.controller.internal.place.PlacementParts;
import org.foxtailplank.controller.internal.plan.FleetPlanner;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.VmProcedure;
import org.foxtailplank.internal.control.VmWaits;
import org.foxtailplank.process.Log;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.settings.PeerSettings;
import org.foxtailplank.settings.Settings;

/** The control role of one process: a shard for each availability zone, and the admin API. */
public final class Controller {
    private static final Log LOG = Log.of("control");
    private static final String DISPATCHER = "foxtail.control-dispatcher";
    private static final Duration HEALTH_TIMEOUT = Duration.ofSeconds(1);

    private final ActorSystem<?> mSystem;
    private final ControllerParts mParts;
    private final RecordWriter mWriter;
    private final InstantSource mClock = InstantSource.system();
    private final FleetWatch mWatch = new FleetWatch(mClock);
    private final BackendHealth mHealth;
    private final AdminApi mApi;
    private final List<ActorRef<LoopActor.Command>> mShards = new ArrayList<>();
    private final Set<ZoneId> mZones = new HashSet<>();
    private volatile Settings mSettings;

    private Controller(ActorSystem<?> system, ControllerParts parts) {
        mSystem = system;
        mParts = parts;
        // The id of a record must never come again, whatever earlier process had this node's name.
        String incarnation = UUID.randomUUID().toString();
        mWriter = new RecordWriter(parts.self(), incarnation, parts.log());
        mHealth = new HttpBackendHealth(system, HEALTH_TIMEOUT);
        mSettings = parts.settings();
        mApi =
                new AdminApi(
                        system,
                        new AdminParts(
                                parts.self(),
                                parts.log(),
                                mWriter,
                                this::settings,
                                parts.peers(),
                                mWatch,
                                ConfigurationChecker.bySettings(),
                                mClock));
        parts.burn().ifPresent(burn -> mApi.serveBurn(burn, parts.settings()));
    }

    /** Starts to act, and to answer on {@link #route()}. */
    public static Controller start(PekkoRuntime runtime, ControllerParts parts) {
        Controller controller = new Controller(runtime.system(), parts);
        controller.configure(parts.settings());
        controller.startPlacement();
        LOG.info("Control of {0} has started.", parts.self());
        return controller;
    }

    /** The administration API, to be served on the admin address. */
    public Route route() {
        return Directives.pathPrefix("v1", () -> Directives.handle(mApi::handle));
    }

    /** Takes over another configuration. */
    public synchronized void configure(Settings settings) {
        mSettings = settings;
        settings.zones().keySet().stream().filter(mZones::add).forEach(this::startShard);
    }

    /** Stops to act; what is pending is left to the next controller. */
    public synchronized void stop() {
        for (ActorRef<LoopActor.Command> shard : mShards) {
            Adapter.toClassic(mSystem).stop(Adapter.toClassic(shard));
        }
        LOG.info("Control of {0} has stopped.", mParts.self());
    }

    private void startShard(ZoneId zone) {
        ShardParts parts = shardParts();
        start(zone, mailbox -> new ShardLoop(zone, parts, mailbox)::look, ShardLoop.LOOK_EVERY);
    }

    private void startPlacement() {
        PlacementParts parts =
                new PlacementParts(
                        this::settings,
                        PlacementSettings.standard(),
                        mParts.log(),
                        mWriter,
                        mParts.workers(),
                        epochs(),
                        mClock);
        start(
                PlacementLoop.SHARD,
                mailbox -> new PlacementLoop(parts, mailbox)::look,
                PlacementLoop.LOOK_EVERY);
    }

    private void start(ZoneId shard, Function<Mailbox, Runnable> loop, Duration lookEvery) {
        ActorRef<LoopActor.Command> actor =
                mSystem.systemActorOf(
                        LoopActor.of(loop, lookEvery),
                        "control-" + mParts.self() + "-" + shard,
                        DispatcherSelector.fromConfig(DISPATCHER));
        mParts.log().onChange(() -> actor.tell(LoopActor.Look.NOW));
        mShards.add(actor);
    }

    private ShardParts shardParts() {
        Derived<BufferPlanner> buffer =
                new Derived<>(this::settings, s -> BufferPlanner.byDemand(s.fleet()));
        Derived<VmProcedure> procedure =
                new Derived<>(this::settings, s -> new VmProcedure(VmWaits.of(s.fleet())));
        return new ShardParts(
                mParts.log(),
                mWriter,
                epochs(),
                new FleetPlanner(mParts.self().value(), WavePlanner.byRack(), buffer),
                mWatch,
                mParts.directory(),
                new VmRunner(
                        mParts.directory(), mParts.actions(), mHealth, procedure, mWriter, mClock),
                mClock);
    }

    private EpochParts epochs() {
        return new EpochParts(
                mParts.self(),
                mWriter,
                new Derived<>(this::settings, this::epochPolicy),
                mParts.peers(),
                mClock);
    }

    private EpochPolicy epochPolicy(Settings settings) {
        Map<NodeId, ZoneId> nodes =
                settings.nodes().entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().zone()));
        PeerSettings peers = settings.peers();
        return new EpochPolicy(mParts.self(), nodes, peers.silence(), peers.heartbeat());
    }

    private Settings settings() {
        return mSettings;
    }
}
