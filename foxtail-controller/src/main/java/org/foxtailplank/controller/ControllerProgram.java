package org.foxtailplank.controller;

import com.codahale.metrics.MetricRegistry;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Set;
import org.apache.pekko.http.javadsl.server.Directives;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.platform.FleetFollower;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.platform.LogClient;
import org.foxtailplank.platform.SharedFleetState;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Health;
import org.foxtailplank.process.HealthRoutes;
import org.foxtailplank.process.HttpListener;
import org.foxtailplank.process.Log;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.ProgramOptions;
import org.foxtailplank.process.StopSignal;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.PeerLinkOptions;
import org.foxtailplank.wire.StateExchange;
import org.foxtailplank.wire.StateExchangeLimits;

/** Runs the control role as a separate process. */
final class ControllerProgram implements Program<ProgramOptions> {
    private static final Log LOG = Log.of("control");
    private static final int THREADS = 2;

    @Override
    public ExitCode run(ProgramOptions options, StopSignal stop)
            throws ProcessException, InterruptedException {
        Settings settings = options.settings();
        NodeId node = options.node(settings);
        try (PekkoRuntime runtime = PekkoRuntime.start("controller", THREADS);
                PeerLink link = link(settings, node)) {
            HttpPlatform platform =
                    HttpPlatform.at(
                            settings.platform().address(),
                            settings.platform().timeout(),
                            runtime.system());
            try (LogClient writes = LogClient.of(platform.log(), settings);
                    FleetFollower log =
                            FleetFollower.start(
                                    writes, FollowOptions.of(node, settings.platform()))) {
                StateExchange.start(link, SharedFleetState.of(log), StateExchangeLimits.defaults());
                StateExchange.start(link, SharedFleetState.of(log), StateExchangeLimits.defaults());
                run(
                        runtime,
                        ControllerContext.of(node, settings, log, platform).withPeers(link),
                        new ConfigurationFollower(settings, node, log, link),
                        stop);
            }
        }
        return ExitCode.DONE;
    }

    private static void run(
            PekkoRuntime runtime,
            ControllerContext context,
            ConfigurationFollower configuration,
            StopSignal stop)
            throws ProcessException, InterruptedException {
        MetricRegistry metrics = new MetricRegistry();
        Controller controller = Controller.start(runtime, context.withMetrics(metrics));
        configuration.onChange(controller::configure);
        NodeSettings node = context.settings().nodes().get(context.self());
        HttpListener admin =
                HttpListener.bind(
                        runtime,
                        node.admin(),
                        Directives.concat(
                                HealthRoutes.of(
                                        () -> new Health(Health.SERVING, Map.of()), metrics),
                                controller.route()));
        LOG.info("The administration API listens on {0}.", admin.address());
        stop.await();
        controller.stop();
    }

    private static PeerLink link(Settings settings, NodeId node) throws ProcessException {
        Incarnation incarnation = Incarnation.random(new SecureRandom());
        try {
            PeerLink link =
                    PeerLink.start(
                            PeerLinkOptions.of(
                                    node,
                                    settings.nodes().get(node),
                                    settings.peers(),
                                    incarnation,
                                    Set.of(NodeRole.CONTROL)));
            link.setSeeds(SeedSource.SETTINGS, Seed.from(settings));
            return link;
        } catch (PeerLinkException e) {
            throw ProcessException.failed(e.getMessage(), e);
        }
    }
}
