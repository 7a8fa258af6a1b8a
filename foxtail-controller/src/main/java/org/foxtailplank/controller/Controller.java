package org.foxtailplank.controller;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.stream.Collectors;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.foxtailplank.controller.internal.act.BackendHealth;
import org.foxtailplank.controller.internal.act.FleetWatch;
import org.foxtailplank.controller.internal.act.HttpBackendHealth;
import org.foxtailplank.controller.internal.act.RecordWriter;
import org.foxtailplank.controller.internal.act.ShardController;
import org.foxtailplank.controller.internal.act.ShardParts;
import org.foxtailplank.controller.internal.act.VmRunner;
import org.foxtailplank.controller.internal.admin.AdminApi;
import org.foxtailplank.controller.internal.plan.FleetPlanner;
import org.foxtailplank.fleet.BufferPlanner;
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
    private final List<ActorRef<ShardController.Command>> mShards = new ArrayList<>();

    private Controller(ActorSystem<?> system, ControllerParts parts) {
        mSystem = system;
        mParts = parts;
        // The id of a record must never come again, whatever earlier process had this node's name.
        String incarnation = UUID.randomUUID().toString();
        mWriter = new RecordWriter(parts.self(), incarnation, parts.log());
        mHealth = new HttpBackendHealth(system, HEALTH_TIMEOUT);
        mApi =
                new AdminApi(
                        system,
                        parts.log(),
                        mWriter,
                        parts.settings(),
                        parts.liveness(),
                        ConfigurationChecker.bySettings());
        parts.burn().ifPresent(burn -> mApi.serveBurn(burn, parts.settings()));
    }

    /** Starts to act, and to answer on {@link #route()}. */
    public static Controller start(PekkoRuntime runtime, ControllerParts parts) {
        Controller controller = new Controller(runtime.system(), parts);
        parts.settings().zones().keySet().forEach(controller::startShard);
        LOG.info("Control of {0} has started.", parts.self());
        return controller;
    }

    /** The administration API, to be served on the admin address. */
    public Route route() {
        return Directives.pathPrefix("v1", () -> Directives.handle(mApi::handle));
    }

    /** Stops to act; what is pending is left to the next controller. */
    public void stop() {
        for (ActorRef<ShardController.Command> shard : mShards) {
            Adapter.toClassic(mSystem).stop(Adapter.toClassic(shard));
        }
        LOG.info("Control of {0} has stopped.", mParts.self());
    }

    private void startShard(ZoneId zone) {
        ActorRef<ShardController.Command> shard =
                mSystem.systemActorOf(
                        ShardController.of(zone, shardParts()),
                        "control-" + mParts.self() + "-" + zone,
                        DispatcherSelector.fromConfig(DISPATCHER));
        mParts.log().onChange(() -> shard.tell(ShardController.Look.NOW));
        mShards.add(shard);
    }

    private ShardParts shardParts() {
        Settings settings = mParts.settings();
        return new ShardParts(
                mParts.self(),
                mParts.log(),
                mWriter,
                epochs(settings),
                mParts.liveness(),
                new FleetPlanner(
                        mParts.self().value(),
                        WavePlanner.byRack(),
                        BufferPlanner.byDemand(settings.fleet())),
                mWatch,
                mParts.directory(),
                new VmRunner(
                        mParts.directory(),
                        mParts.actions(),
                        mHealth,
                        new VmProcedure(VmWaits.of(settings.fleet())),
                        mWriter,
                        mClock),
                mClock);
    }

    private EpochPolicy epochs(Settings settings) {
        Map<NodeId, ZoneId> nodes =
                settings.nodes().entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().zone()));
        PeerSettings peers = settings.peers();
        return new EpochPolicy(mParts.self(), nodes, peers.silence(), peers.heartbeat());
    }
}
