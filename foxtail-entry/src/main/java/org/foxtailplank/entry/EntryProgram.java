package org.foxtailplank.entry;

import java.time.Duration;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Log;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.StopSignal;
import org.foxtailplank.settings.Settings;

/** A node with its roles as a process of its own. */
final class EntryProgram implements Program<EntryOptions> {

    private static final Log LOG = Log.of("entry");
    private static final int THREADS = 4;

    /** Long enough for a balancer that probes once a second to see the failed health answer. */
    private static final Duration NOTICE_TIME = Duration.ofSeconds(2);

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
            LOG.info("Leaving: the health answer fails, what is in flight is finished.");
            node.leave(NOTICE_TIME).toCompletableFuture().join();
            LOG.info("Nothing is left in flight.");
        }
        return ExitCode.DONE;
    }
}
