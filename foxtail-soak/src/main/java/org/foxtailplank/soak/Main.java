package org.foxtailplank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.foxtailplank.process.Version;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Plays runs with faults: {@code foxtail-soak run|play|shrink}. */
public final class Main {
    private static final int KEPT = 0;
    private static final int BROKEN = 1;
    private static final int USAGE = 2;

    @Argument(index = 0, metaVar = "run|play|shrink", required = true, usage = "what to do")
    private String mVerb = "";

    @Argument(index = 1, metaVar = "SCHEDULE", usage = "with play: the file to play")
    private String mFile = "";

    @Option(name = "--help", aliases = "-h", help = true, usage = "print the options and exit")
    private boolean mHelp;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    private boolean mVersion;

    @Option(name = "--seed", usage = "the first seed")
    private long mSeed = 1;

    @Option(name = "--seeds", usage = "how many seeds to play, from the first on")
    private int mSeeds = 1;

    @Option(name = "--jobs", usage = "how many runs to play at a time")
    private int mJobs = 1;

    @Option(name = "--for", metaVar = "SECONDS", usage = "how long callers come")
    private int mSeconds = 30;

    @Option(name = "--zones", usage = "availability zones")
    private int mZones = 3;

    @Option(name = "--nodes", usage = "nodes")
    private int mNodes = 6;

    @Option(name = "--workers", usage = "workers")
    private int mWorkers = 15;

    @Option(name = "--out", metaVar = "FOLDER", usage = "where logs and pages go")
    private String mOut = "target/soak";

    private Main() {}

    public static void main(String[] args) throws InterruptedException {
        System.exit(new Main().run(args));
    }

    private int run(String[] args) throws InterruptedException {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
            if (mHelp || mVersion) {
                about(parser);
                return KEPT;
            }
            return switch (mVerb) {
                case "run" -> runSeeds();
                case "play" -> play(Schedule.parse(Files.readString(Path.of(mFile))));
                case "shrink" -> shrink();
                default -> throw new IllegalArgumentException("no verb " + mVerb);
            };
        } catch (CmdLineException | IllegalArgumentException | ScheduleException e) {
            System.err.println("foxtail-soak: " + e.getMessage());
            parser.printUsage(System.err);
            return USAGE;
        } catch (IOException e) {
            System.err.println("foxtail-soak: " + e);
            return USAGE;
        }
    }

    private void about(CmdLineParser parser) {
        if (mVersion) {
            System.out.println("foxtail-soak " + Version.text());
            return;
        }
        System.out.println("usage: foxtail-soak run|play|shrink [SCHEDULE] [options]");
        parser.printUsage(System.out);
        System.out.println("exit status: 0 all kept, 1 a promise is broken, 2 usage is wrong");
    }

    private SoakSize size() {
        return new SoakSize(mSeconds, mZones, mNodes, mWorkers);
    }

    private int runSeeds() throws InterruptedException {
        SoakSize size = size();
        ExecutorService runs = Executors.newFixedThreadPool(Math.max(1, mJobs));
        List<Callable<Integer>> plays = new ArrayList<>();
        for (long s = mSeed; s < mSeed + mSeeds; s++) {
            Schedule schedule = Schedule.draw(s, size);
            plays.add(() -> play(schedule));
        }
        int worst = KEPT;
        for (Future<Integer> f : runs.invokeAll(plays)) {
            worst = Math.max(worst, outcome(f));
        }
        runs.shutdown();
        return worst;
    }

    private static int outcome(Future<Integer> run) throws InterruptedException {
        try {
            return run.get();
        } catch (ExecutionException e) {
            System.err.println("foxtail-soak: a run was broken off: " + e.getCause());
            return USAGE;
        }
    }

    private int play(Schedule schedule) throws IOException, InterruptedException {
        Path folder = Path.of(mOut, "seed-" + schedule.seed());
        boolean alone = mJobs <= 1;
        SoakRun run = new SoakRun(schedule, folder, t -> progress(alone, t));
        SoakRun.Result result = run.play();
        SoakReport.page(schedule, result, folder.resolve("timeline.html"));
        System.out.print(SoakReport.text(schedule, result, folder));
        System.out.flush();
        return result.isKept() ? KEPT : BROKEN;
    }

    private static void progress(boolean wanted, String text) {
        if (wanted) {
            System.out.println(text);
        }
    }

    /** Drops one fault after the other as long as the run goes on failing without it. */
    private int shrink() throws IOException, InterruptedException {
        Schedule smallest = Schedule.draw(mSeed, size());
        if (play(smallest) == KEPT) {
            System.out.println("seed " + mSeed + " breaks nothing");
            return KEPT;
        }
        int fault = 0;
        while (fault < smallest.faults().size()) {
            Schedule smaller = smallest.without(fault);
            if (play(smaller) == KEPT) {
                fault++;
            } else {
                smallest = smaller;
            }
        }
        System.out.print(smallest.text());
        return BROKEN;
    }
}
