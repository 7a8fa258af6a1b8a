package org.foxtailplank.controller;

import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.foxtailplank.controller.internal.act.BackendHealth;
import org.foxtailplank.controller.internal.act.FleetWatch;
import org.foxtailplank.controller.internal.act.HttpBackendHealth;
import org.foxtailplank.controller.internal.act.RecordWriter;
import org.foxtailplank.controller.internal.act.ShardController;
import org.foxtailplank.controller.internal.act.ShardParts;
import org.foxtailplank.controller.internal.act.VmRunner;
import org.foxtailplank.controller.internal.admin.AdminApi;
import org.foxtailplank.controller.internal.admin.ProcessPages;
import org.foxtailplank.controller.internal.plan.FleetPlanner;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.VmProcedure;
import org.foxtailplank.internal.control.VmWaits;
import org.foxtailplank.settings.Settings;

/** The control role of one process: a shard for each availability zone, and the admin API. */
public final class Controller {
    private static final System.Logger LOG = System.getLogger("control");
    private static final String DISPATCHER = "foxtail.control-dispatcher";
    private static final int STOP_TIMEOUT_SECONDS = 5;
    private static final Duration HEALTH_TIMEOUT = Duration.ofSeconds(1);

    private final ActorSystem<?> mSystem;
    private final List<ActorRef<ShardController.Command>> mShards;
    private final ServerBinding mBinding;

    private Controller(
            ActorSystem<?> system,
            List<ActorRef<ShardController.Command>> shards,
            ServerBinding binding) {
        mSystem = system;
        mShards = shards;
        mBinding = binding;
    }

    /** Starts the control role inside an actor system; done once the admin address is bound. */
    public static CompletionStage<Controller> start(ActorSystem<?> system, ControllerParts parts) {
        return start(system, parts, NodePages.plain());
    }

    /** Starts the control role; the admin address answers for the whole process as well. */
    public static CompletionStage<Controller> start(
            ActorSystem<?> system, ControllerParts parts, NodePages pages) {
        // The id of a record must never come again, whatever earlier process had this node's name.
        String incarnation = UUID.randomUUID().toString();
        RecordWriter writer = new RecordWriter(parts.self(), incarnation, parts.log());
        AdminApi api =
                new AdminApi(
                        system,
                        parts.log(),
                        writer,
                        parts.settings(),
                        parts.liveness(),
                        parts.checker());
        pages.burn().ifPresent(burn -> api.withBurn(burn, parts.settings()));
        ProcessPages processPages = new ProcessPages(pages, api);
        return Http.get(system)
                .newServerAt(parts.admin().getHostString(), parts.admin().getPort())
                .bind(processPages::handle)
                .thenApply(
                        binding -> new Controller(system, shards(system, parts, writer), binding));
    }

    /** Where the administration API answers. */
    public InetSocketAddress adminAddress() {
        return mBinding.localAddress();
    }

    /** Stops acting and answers no further call; what is pending is left to the next controller. */
    public CompletionStage<Done> stop() {
        for (ActorRef<ShardController.Command> shard : mShards) {
            Adapter.toClassic(mSystem).stop(Adapter.toClassic(shard));
        }
        LOG.log(Level.INFO, "control: stopped");
        return mBinding.terminate(Duration.ofSeconds(STOP_TIMEOUT_SECONDS))
                .thenApply(terminated -> Done.getInstance());
    }

    private static List<ActorRef<ShardController.Command>> shards(
            ActorSystem<?> system, ControllerParts parts, RecordWriter writer) {
        BackendHealth health = new HttpBackendHealth(system, HEALTH_TIMEOUT);
        FleetWatch watch = new FleetWatch(InstantSource.system());
        List<ActorRef<ShardController.Command>> shards = new ArrayList<>();
        for (ZoneId zone : parts.settings().zones().keySet()) {
            ActorRef<ShardController.Command> shard =
                    system.systemActorOf(
                            ShardController.of(zone, shardParts(parts, writer, health, watch)),
                            "control-" + zone,
                            DispatcherSelector.fromConfig(DISPATCHER));
            parts.log().onChange(() -> shard.tell(ShardController.Look.NOW));
            shards.add(shard);
        }
        return shards;
    }

    private static ShardParts shardParts(
            ControllerParts parts, RecordWriter writer, BackendHealth health, FleetWatch watch) {
        Settings settings = parts.settings();
        InstantSource clock = InstantSource.system();
        Map<NodeId, ZoneId> nodes =
                settings.nodes().entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().zone()));
        EpochPolicy epochs =
                new EpochPolicy(
                        parts.self(),
                        nodes,
                        settings.peers().silence(),
                        settings.peers().heartbeat());
        VmRunner runner =
                new VmRunner(
                        parts.directory(),
                        parts.actions(),
                        health,
                        new VmProcedure(VmWaits.of(settings.fleet())),
                        writer,
                        clock);
        return new ShardParts(
                parts.self(),
                parts.log(),
                writer,
                epochs,
                parts.liveness(),
                new FleetPlanner(
                        parts.self().value(),
                        WavePlanner.byRack(),
                        BufferPlanner.byDemand(settings.fleet())),
                watch,
                parts.directory(),
                runner,
                clock);
    }
}
