package org.foxtailplank.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Launcher;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.foxtailplank.process.StopSignal;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.settings.Settings;
import org.kohsuke.args4j.Option;

/** The binary {@code foxtail-standin}: a platform with its VMs, or one backend server alone. */
public final class Main {

    private static final String NAME = "foxtail-standin";
    private static final int THREADS = 4;
    private static final int ANY_PORT = -1;

    private Main() {}

    /** Starts the binary. */
    public static void main(String[] args) {
        Launcher.named(NAME).main(args, new Options(), Main::run);
    }

    private static ExitCode run(Options options, StopSignal stop)
            throws ProcessException, InterruptedException {
        try (PekkoRuntime runtime = PekkoRuntime.start("standin", THREADS)) {
            if (options.mBackend != null) {
                runBackend(options, stop, runtime);
            } else {
                runPlatform(options, stop, runtime);
            }
            return ExitCode.DONE;
        } catch (IOException e) {
            throw ProcessException.failed(
                    e.getMessage() + "; choose another port with --port, or 0 for any", e);
        }
    }

    private static void runBackend(Options options, StopSignal stop, PekkoRuntime runtime)
            throws IOException, InterruptedException {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", Math.max(0, options.mPort));
        BackendOptions backend =
                BackendOptions.named(options.mBackend)
                        .withServiceTime(options.serviceTime())
                        .at(address);
        try (BackendStandin standin = BackendStandin.start(backend, runtime.system())) {
            printReady(standin.address());
            stop.await();
        }
    }

    private static void runPlatform(Options options, StopSignal stop, PekkoRuntime runtime)
            throws ProcessException, IOException, InterruptedException {
        Settings settings = options.settings();
        PlatformSettings platform = settings.platform();
        int port = options.mPort == ANY_PORT ? platform.address().getPort() : options.mPort;
        PlatformOptions quick = PlatformOptions.quick();
        PlatformOptions started =
                quick.at(new InetSocketAddress(platform.address().getHost(), port))
                        .withWork(
                                options.serviceTime(),
                                quick.work().taskStart(),
                                quick.work().task(),
                                quick.work().misdeclared());
        try (PlatformStandin standin = PlatformStandin.start(settings, started, runtime.system())) {
            printReady(
                    new InetSocketAddress(
                            standin.address().getHost(), standin.address().getPort()));
            stop.await();
        }
    }

    private static void printReady(InetSocketAddress address) {
        System.out.println(
                NAME + " ready http://" + address.getHostString() + ":" + address.getPort());
    }

    /** Its options. */
    private static final class Options extends ProgramOptions {

        @Option(name = "--port", metaVar = "PORT", usage = "port to listen on; 0 for any")
        private int mPort = ANY_PORT;

        @Option(name = "--backend", metaVar = "NAME", usage = "start one backend server alone")
        private String mBackend;

        @Option(name = "--service-time-us", metaVar = "US", usage = "mean time of a request")
        private long mServiceTimeMicros = 5000;

        Duration serviceTime() {
            return Duration.ofNanos(mServiceTimeMicros * 1000);
        }
    }
}
