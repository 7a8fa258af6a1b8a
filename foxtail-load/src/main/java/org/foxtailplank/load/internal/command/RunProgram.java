package org.foxtailplank.load.internal.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.foxtailplank.load.internal.http.FaultSwitch;
import org.foxtailplank.load.internal.http.HttpSender;
import org.foxtailplank.load.internal.profile.Arrivals;
import org.foxtailplank.load.internal.profile.Profile;
import org.foxtailplank.load.internal.profile.ProfileException;
import org.foxtailplank.load.internal.profile.ProfileReader;
import org.foxtailplank.load.internal.result.HtmlReport;
import org.foxtailplank.load.internal.result.LoadResult;
import org.foxtailplank.load.internal.result.StepResult;
import org.foxtailplank.load.internal.run.Ending;
import org.foxtailplank.load.internal.run.OpenLoop;
import org.foxtailplank.load.internal.run.Sender;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.StopSignal;

/** Sends the load of a profile step by step, and fails if an answer was mixed up or cut short. */
final class RunProgram implements Program<RunOptions> {

    private static final int THREADS = 4;

    @Override
    public ExitCode run(RunOptions options, StopSignal stop)
            throws ProcessException, InterruptedException {
        Profile profile = profile(options);
        List<List<StepResult>> runs = new ArrayList<>();
        try (PekkoRuntime runtime = PekkoRuntime.start("foxtail-load", THREADS)) {
            Sender sender =
                    options.isDirect()
                            ? HttpSender.straightToBackendServers(
                                    runtime.system(), options.targets())
                            : HttpSender.throughEntries(runtime.system(), options.targets());
            for (int i = 0; i < options.runs() && !stop.isRequested(); i++) {
                try (FaultSwitch faults =
                        FaultSwitch.startedNow(runtime.system(), profile.faults())) {
                    runs.add(steps(options, profile, options.seed() + i, OpenLoop.over(sender)));
                }
            }
        }
        LoadResult result =
                new LoadResult(
                        profile.name(),
                        options.seed(),
                        machine(),
                        profile.capacityPerSecond(),
                        runs);
        write(options, result);
        return wrongAnswers(runs) == 0 ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static List<StepResult> steps(
            RunOptions options, Profile profile, long seed, OpenLoop loop)
            throws ProcessException, InterruptedException {
        Arrivals arrivals = Arrivals.of(profile, new Random(seed));
        List<StepResult> results = new ArrayList<>();
        for (double load : options.steps()) {
            StepResult result =
                    loop.run(
                            load,
                            arrivals.plan(load * profile.capacityPerSecond(), options.stepLength()),
                            options.stepLength());
            System.out.println(line(seed, result));
            results.add(result);
        }
        return results;
    }

    private static String line(long seed, StepResult r) {
        return String.format(
                Locale.ROOT,
                "seed %d  %4.2fx  offered %d  goodput %.1f/s  p50 %.2f ms  p99 %.2f ms  %s",
                seed,
                r.load(),
                r.offered(),
                r.goodputPerSecond(),
                r.latency().p50(),
                r.latency().p99(),
                r.endings());
    }

    private static long wrongAnswers(List<List<StepResult>> runs) {
        return runs.stream().flatMap(List::stream).mapToLong(s -> s.count(Ending.WRONG)).sum();
    }

    private static Profile profile(RunOptions options) throws ProcessException {
        try {
            return ProfileReader.read(options.profile());
        } catch (ProfileException e) {
            throw ProcessException.usage(e.getMessage());
        }
    }

    private static void write(RunOptions options, LoadResult result) throws ProcessException {
        if (options.json().isPresent()) {
            write(options.json().get(), result.toJson());
        }
        if (options.html().isPresent()) {
            write(options.html().get(), HtmlReport.of(result));
        }
    }

    private static void write(Path file, String text) throws ProcessException {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw ProcessException.failed(
                    "The result can't be written to " + file + ". Check the path.", e);
        }
    }

    private static String machine() {
        return String.format(
                Locale.ROOT,
                "%d processors, Java %s",
                Runtime.getRuntime().availableProcessors(),
                System.getProperty("java.version"));
    }
}
