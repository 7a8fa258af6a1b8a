package org.foxtailplank.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.node.log.NodeLog;
import sun.misc.Signal;

/** Starts a node: {@code foxtail-node [SETTINGS]}. */
public final class NodeMain {
    /** Environment variable with the settings file, if the command line doesn't name one. */
    private static final String SETTINGS_VARIABLE = "FOXTAILPLANK_CONFIG";

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILURE = 1;

    private NodeMain() {}

    public static void main(String[] args) throws InterruptedException {
        String file = args.length > 0 ? args[0] : System.getenv(SETTINGS_VARIABLE);
        if (file == null || args.length > 1) {
            System.err.println("usage: foxtail-node [SETTINGS], or set " + SETTINGS_VARIABLE);
            System.exit(EXIT_USAGE);
        }
        Clock clock = Clock.system();
        NodeLog log = NodeLog.to(System.out, clock);
        FailFast failFast =
                new FailFast(
                        error -> reportFailure(log, error),
                        () -> Runtime.getRuntime().halt(EXIT_FAILURE));
        Thread.setDefaultUncaughtExceptionHandler(failFast);
        NodeSettings settings = null;
        try {
            settings = NodeSettingsReader.read(Path.of(file));
        } catch (SettingsException | IOException e) {
            System.err.println(
                    "foxtail-node: cannot read settings " + file + ": " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        run(Path.of(file), settings, clock, log, failFast);
    }

    private static void run(
            Path file, NodeSettings settings, Clock clock, NodeLog log, FailFast failFast) {
        configureNetty();
        EventLoop loop =
                (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Timers timers =
                (delay, action) ->
                        loop.schedule(failFast.guard(action), delay, TimeUnit.MILLISECONDS);
        Node node = new Node(settings, loop, clock, timers, log);
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook =
                new Thread(
                        () -> {
                            loop.execute(() -> node.stop(stopped::countDown));
                            await(stopped, settings.graceMs());
                            log.flush(System.out);
                            Runtime.getRuntime().halt(0);
                        },
                        "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        start(node, loop, log, failFast);
        SettingsWatch watch = new SettingsWatch(file, settings, timers, log, node::updateSettings);
        loop.execute(watch::watch);
        // The default action of SIGHUP would end the process.
        Signal.handle(new Signal("HUP"), s -> loop.execute(() -> watch.reload("signal")));
    }

    private static void start(Node node, EventLoop loop, NodeLog log, FailFast failFast) {
        try {
            node.listen();
            loop.execute(failFast.guard(node::start));
        } catch (IOException e) {
            log.line("start-failed").with("error", e.getMessage()).write();
            log.flush(System.out);
            Runtime.getRuntime().halt(EXIT_FAILURE);
        }
    }

    private static void reportFailure(NodeLog log, Throwable error) {
        error.printStackTrace();
        log.line("broken").with("error", error).write();
        log.flush(System.out);
    }

    /** Presets Netty's logging and machine ID to save its start-up detection. */
    public static void configureNetty() {
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private static void await(CountDownLatch latch, long waitMs) {
        try {
            latch.await(waitMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
