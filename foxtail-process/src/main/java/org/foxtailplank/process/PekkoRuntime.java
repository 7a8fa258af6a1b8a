package org.foxtailplank.process;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.Http;
import org.slf4j.LoggerFactory;

/** Actor system of a process, configured for few threads and little logging. */
public final class PekkoRuntime implements AutoCloseable {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
    private static final String CONTROL_DISPATCHER = "foxtail.control-dispatcher";
    private static final String CONFIG =
            """
            pekko.loglevel = WARNING
            pekko.stdout-loglevel = OFF
            pekko.log-dead-letters = off
            pekko.log-dead-letters-during-shutdown = off
            pekko.jvm-shutdown-hooks = off
            pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
            pekko.coordinated-shutdown.exit-jvm = off
            pekko.actor.default-dispatcher {
              executor = fork-join-executor
              fork-join-executor { parallelism-min = %1$d, parallelism-max = %1$d }
            }
            pekko.actor.internal-dispatcher = pekko.actor.default-dispatcher
            pekko.actor.default-blocking-io-dispatcher.thread-pool-executor.fixed-pool-size = 4
            foxtail.control-dispatcher {
              type = Dispatcher
              executor = fork-join-executor
              fork-join-executor { parallelism-min = 1, parallelism-max = 1 }
            }
            pekko.http.server.server-header = ""
            pekko.http.client.user-agent-header = ""
            pekko.http.host-connection-pool.max-retries = 0
            """;

    private final ActorSystem<Void> mSystem;

    private PekkoRuntime(ActorSystem<Void> system) {
        mSystem = system;
    }

    /** Starts an actor system with this number of threads in its default dispatcher. */
    public static PekkoRuntime start(String name, int threads) {
        // SLF4J prints warnings if several threads request loggers while it initializes.
        LoggerFactory.getILoggerFactory();
        Config config = ConfigFactory.parseString(CONFIG.formatted(threads));
        return new PekkoRuntime(
                ActorSystem.create(
                        Behaviors.empty(), name, config.withFallback(ConfigFactory.load())));
    }

    /** Returns the actor system. */
    public ActorSystem<Void> system() {
        return mSystem;
    }

    /** Returns a single-threaded executor, so that control work does not delay requests. */
    public Executor controlExecutor() {
        return mSystem.dispatchers().lookup(DispatcherSelector.fromConfig(CONTROL_DISPATCHER));
    }

    /**
     * Closes the HTTP connections, then stops the actor system, which would log an error for each
     * open connection.
     */
    public CompletionStage<Done> stop() {
        return Http.get(mSystem)
                .shutdownAllConnectionPools()
                .handle((done, error) -> Done.getInstance())
                .thenCompose(
                        done -> {
                            mSystem.terminate();
                            return mSystem.getWhenTerminated();
                        });
    }

    /** Stops the actor system and waits for its termination, at most {@link #STOP_TIMEOUT}. */
    @Override
    public void close() {
        try {
            stop().toCompletableFuture().get(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            Log.of("process").warn("The actor system did not stop in time: {0}.", e);
        }
    }
}
