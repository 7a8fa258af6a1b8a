package org.foxtailplank.load.internal.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.Placer;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Json;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.StopSignal;

/** Runs the fleet decisions against a naive baseline and prints what they come to. */
public final class FleetProgram implements Program<FleetOptions> {

    private static final long STEP_MS = 10_000;
    private static final long LARGE_STEP_MS = 30_000;

    private final PrintStream mOut;

    public FleetProgram(PrintStream out) {
        mOut = out;
    }

    @Override
    public ExitCode run(FleetOptions options, StopSignal stop) throws ProcessException {
        FleetScenario scenario = options.scenario();
        FleetResult result =
                new FleetResult(
                        scenario.name(),
                        scenario.capacity().size(),
                        options.seed(),
                        machine(),
                        options.runs("capacity") ? capacity(scenario, options) : List.of(),
                        options.runs("curve") ? curve(scenario, options) : List.of(),
                        options.runs("cost")
                                ? Optional.of(new CostRun(scenario).run())
                                : Optional.empty(),
                        options.runs("placement") ? placement(scenario, options) : List.of());
        FleetReport.lines(result).forEach(mOut::println);
        if (options.json().isPresent()) {
            write(options.json(), Json.write(result));
        }
        if (options.html().isPresent()) {
            write(options.html(), FleetReport.html(result));
        }
        return ExitCode.DONE;
    }

    private static List<CapacityResult> capacity(FleetScenario scenario, FleetOptions options) {
        return List.of(
                day(scenario, new PlannedCapacity(scenario.settings()), options.waveMs(), options),
                day(scenario, new NaiveCapacity(), options.waveMs(), options));
    }

    private static CapacityResult day(
            FleetScenario scenario, CapacityPolicy policy, long waveMs, FleetOptions options) {
        long step = options.isLarge() ? LARGE_STEP_MS : STEP_MS;
        return new CapacityRun(scenario, policy, waveMs, step, options.seed()).run();
    }

    private static List<CapacityResult> curve(FleetScenario scenario, FleetOptions options)
            throws ProcessException {
        List<CapacityResult> curve = new ArrayList<>();
        for (double weight : options.weights()) {
            FleetScenario weighed = scenario.weighing(weight);
            curve.add(
                    day(
                            weighed,
                            new PlannedCapacity(weighed.settings()),
                            options.curveWaveMs(),
                            options));
        }
        return curve;
    }

    private static List<PlacementResult> placement(FleetScenario scenario, FleetOptions options) {
        PlacementTimes times = new PlacementTimes(options.placementMs());
        PlacementSettings settings = PlacementSettings.standard();
        List<PlannedJob> jobs = new JobPlan(scenario, times.lengthMs(), options.seed()).jobs();
        return List.of(
                new PlacementRun(scenario, Placer.indexed(settings), times, options.seed())
                        .run("foxtailplank", jobs),
                new PlacementRun(
                                scenario,
                                new FirstFitPlacer(settings.maxActions()),
                                times,
                                options.seed())
                        .run("naive", jobs));
    }

    private static String machine() {
        Runtime r = Runtime.getRuntime();
        return String.format(
                "%d cores, JVM %s, heap at most %d MiB",
                r.availableProcessors(), Runtime.version(), r.maxMemory() >> 20);
    }

    private static void write(Optional<Path> file, String text) throws ProcessException {
        try {
            Files.writeString(file.orElseThrow(), text);
        } catch (IOException e) {
            throw ProcessException.usage(
                    "The result can't be written to "
                            + file.get()
                            + ": "
                            + e.getMessage()
                            + ". Name a file in a directory that exists.");
        }
    }
}
