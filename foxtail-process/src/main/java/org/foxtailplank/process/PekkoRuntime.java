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

/** The one actor system of a process, kept small: few threads and quiet logs. */
public final class PekkoRuntime implements AutoCloseable {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
    private static final String CONTROL = "foxtail.control-dispatcher";
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

    /** Starts an actor system whose default dispatcher has this many threads. */
    public static PekkoRuntime start(String name, int threads) {
        // Loggers asked for by several threads while SLF4J sets itself up make it print warnings.
        LoggerFactory.getILoggerFactory();
        Config config = ConfigFactory.parseString(CONFIG.formatted(threads));
        return new PekkoRuntime(
                ActorSystem.create(
                        Behaviors.empty(), name, config.withFallback(ConfigFactory.load())));
    }

    /** The actor system. */
    public ActorSystem<Void> system() {
        return mSystem;
    }

    /** A thread of control's own, so that neither a plan nor a fold delays a request. */
    public Executor controlExecutor() {
        return mSystem.dispatchers().lookup(DispatcherSelector.fromConfig(CONTROL));
    }

    /**
     * Stops the actor system, its HTTP connections first: one that is open when the system goes is
     * logged as an error.
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

    /** Stops the actor system and waits for its end, for a few seconds at most. */
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
