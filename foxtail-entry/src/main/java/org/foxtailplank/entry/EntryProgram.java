package org.foxtailplank.entry;

import java.time.Duration;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Log;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.StopSignal;
import org.foxtailplank.settings.Settings;

/** Runs a node with its roles until the process is asked to stop. */
final class EntryProgram implements Program<EntryOptions> {

    private static final Log LOG = Log.of("entry");
    private static final int THREADS = 4;

    /** Lets a load balancer that probes once a second see the failed health check. */
    private static final Duration BALANCER_NOTICE_TIME = Duration.ofSeconds(2);

    @Override
    public ExitCode run(EntryOptions options, StopSignal stop)
            throws ProcessException, InterruptedException {
        Settings settings = options.settings();
        NodeOptions nodeOptions =
                new NodeOptions(
                        options.node(settings), settings, options.roles(), options.newDeployment());
        try (PekkoRuntime runtime = PekkoRuntime.start("entry", THREADS);
                FoxtailNode node = FoxtailNode.start(runtime, nodeOptions)) {
            LOG.info(
                    "Node {0}: callers on {1}, admin on {2}, peers on {3}.",
                    nodeOptions.node(),
                    node.callers().map(Object::toString).orElse("none"),
                    node.admin(),
                    node.seed().address());
            stop.await();
            LOG.info("Leaving: health checks fail, requests in flight are completed.");
            node.leave(BALANCER_NOTICE_TIME).toCompletableFuture().join();
            LOG.info("All requests in flight are completed.");
        }
        return ExitCode.DONE;
    }
}
