package org.foxtailplank.entry;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.platform.HttpPlatform;
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
import org.foxtailplank.settings.Settings;

/** The entry role as a process of its own. */
final class EntryProgram implements Program<ProgramOptions> {

    private static final Log LOG = Log.of("entry");
    private static final int THREADS = 4;
    private static final Duration LIST_INTERVAL = Duration.ofMillis(500);

    /** Long enough for a balancer that probes once a second to see the failed health answer. */
    private static final Duration NOTICE_TIME = Duration.ofSeconds(2);

    @Override
    public ExitCode run(ProgramOptions options, StopSignal stop)
            throws ProcessException, InterruptedException {
        Settings settings = options.settings();
        NodeId node = options.node(settings);
        MetricRegistry metrics = new MetricRegistry();
        try (PekkoRuntime runtime = PekkoRuntime.start("entry", THREADS)) {
            var platform =
                    HttpPlatform.at(
                            settings.platform().address(),
                            settings.platform().timeout(),
                            runtime.system());
            PlatformDirectory directory =
                    PlatformDirectory.polling(platform.vms(), LIST_INTERVAL, runtime.system());
            EntryServer entry =
                    listen(runtime, EntryParts.of(node, settings, directory).withMetrics(metrics));
            HttpListener admin =
                    HttpListener.bind(
                            runtime,
                            settings.nodes().get(node).admin(),
                            HealthRoutes.of(() -> health(entry), metrics));
            LOG.info("Callers on {0}, admin on {1}.", entry.address(), admin.address());
            stop.await();
            LOG.info("Leaving: the health answer fails, what is in flight is finished.");
            entry.leave(NOTICE_TIME).toCompletableFuture().join();
            directory.stop();
            LOG.info("Nothing is left in flight.");
        }
        return ExitCode.DONE;
    }

    private static EntryServer listen(PekkoRuntime runtime, EntryParts parts)
            throws ProcessException {
        InetSocketAddress address = parts.settings().nodes().get(parts.node()).callers();
        try {
            return EntryServer.start(runtime.system(), parts).toCompletableFuture().join();
        } catch (CompletionException e) {
            throw ProcessException.failed(
                    "can't listen for callers on "
                            + address
                            + ": "
                            + e.getCause().getMessage()
                            + "; stop what uses the address, or change it in the settings",
                    e);
        }
    }

    private static Health health(EntryServer entry) {
        return new Health(entry.leaving() ? "leaving" : Health.SERVING, Map.of());
    }
}
