package org.foxtailplank.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.foxtailplank.demo.internal.AdminClient;
import org.foxtailplank.demo.internal.BudgetWatch;
import org.foxtailplank.demo.internal.Callers;
import org.foxtailplank.demo.internal.DemoFiles;
import org.foxtailplank.demo.internal.DemoSystem;
import org.foxtailplank.demo.internal.Patience;
import org.foxtailplank.demo.internal.Promises;
import org.foxtailplank.demo.internal.Scenario;
import org.foxtailplank.entry.FoxtailNode;
import org.foxtailplank.load.internal.http.HttpSender;
import org.foxtailplank.load.internal.profile.Profile;
import org.foxtailplank.load.internal.profile.ProfileException;
import org.foxtailplank.load.internal.profile.ProfileReader;
import org.foxtailplank.load.internal.result.StepResult;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.StopSignal;
import org.foxtailplank.settings.Role;

/**
 * Runs a deployment in one process: callers' requests during a move and a wave, then the checks.
 */
final class DemoProgram implements Program<DemoOptions> {

    private static final int THREADS = 8;
    private static final Duration LOAD_TIME = Duration.ofSeconds(12);
    private static final Duration NOTICE_TIME = Duration.ofMillis(200);

    private static final Logger ROOT = Logger.getLogger("");

    private final PrintStream mOut;

    DemoProgram(PrintStream out) {
        mOut = out;
    }

    @Override
    public ExitCode run(DemoOptions options, StopSignal stop)
            throws ProcessException, InterruptedException {
        // What the parts log would bury what the demo tells.
        ROOT.setLevel(Level.SEVERE);
        DemoFiles files = DemoFiles.in(options.directory());
        try (PekkoRuntime runtime = PekkoRuntime.start("demo", THREADS);
                DemoSystem system = DemoSystem.start(runtime, files.settings());
                BudgetWatch budgets = BudgetWatch.start(runtime, system)) {
            mOut.printf(
                    "%s: %d VMs, %d services; entries on %s%n",
                    options.deployment(),
                    files.settings().vms().size(),
                    files.settings().services().size(),
                    system.entries());
            Promises promises = new Promises();
            AdminClient admin = admin(runtime, system);
            Scenario scenario = new Scenario(system, admin, promises, mOut);
            scenario.publish(files);
            scenario.awaitFleet();
            Callers callers = new Callers();
            CompletableFuture<StepResult> load =
                    callers.start(
                            profile(files),
                            HttpSender.throughEntries(runtime.system(), system.entries()),
                            options.rate(),
                            LOAD_TIME,
                            options.seed());
            scenario.moveVm();
            scenario.runWave();
            mOut.println("requests: " + load.join().endings());
            leave(system);
            promises.checkRequests(callers.asked(), system.platform());
            budgets.check(promises);
            report(admin, promises);
            return promises.kept() ? ExitCode.DONE : ExitCode.FAILED;
        }
    }

    private static AdminClient admin(PekkoRuntime runtime, DemoSystem system)
            throws ProcessException {
        String token =
                system.settings().teams().values().stream()
                        .filter(t -> t.role() == Role.OPERATOR)
                        .map(t -> t.token())
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        ProcessException.usage(
                                                "No team has the role operator, so nothing can be"
                                                        + " published. Give one team that role."));
        return new AdminClient(runtime, system.admin(), token);
    }

    private static Profile profile(DemoFiles files) throws ProcessException {
        try {
            return ProfileReader.read(files.profile());
        } catch (ProfileException e) {
            throw ProcessException.usage(e.getMessage());
        }
    }

    /** Stops the entries as an operator would, so that the last counts are reported. */
    private void leave(DemoSystem system) {
        for (FoxtailNode node : system.nodes()) {
            node.leave(NOTICE_TIME).toCompletableFuture().join();
        }
    }

    private void report(AdminClient admin, Promises promises)
            throws ProcessException, InterruptedException {
        JsonNode burn =
                Patience.until(
                        "the burn report",
                        () -> admin.get("/v1/burn?windowSeconds=60"),
                        b -> b.path("services").path(0).path("requests").asLong() > 0);
        mOut.println();
        mOut.println("service-level burn, last minute:");
        for (JsonNode s : burn.path("services")) {
            mOut.printf(
                    "  %-12s objective %.4f  requests %5d  budget spent %6.1f%%  burn %.2f  %s%n",
                    s.path("service").asText(),
                    s.path("objective").asDouble(),
                    s.path("requests").asLong(),
                    s.path("spentShare").asDouble() * 100,
                    s.path("longRate").asDouble(),
                    s.path("spent"));
        }
        mOut.println();
        mOut.println("promises:");
        List<String> lines = promises.lines();
        lines.forEach(l -> mOut.println("  " + l));
    }
}
