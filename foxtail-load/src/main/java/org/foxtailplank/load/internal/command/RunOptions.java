package org.foxtailplank.load.internal.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Options of {@code foxtail-load run}. */
public final class RunOptions extends ProgramOptions {

    @Option(name = "--profile", metaVar = "FILE", required = true, usage = "traffic to send")
    private Path mProfile;

    @Option(
            name = "--target",
            metaVar = "URL",
            required = true,
            usage = "http://address:port of an entry; may be given several times")
    private List<String> mTargets = new ArrayList<>();

    @Option(name = "--direct", usage = "the targets are backend servers: the baseline")
    private boolean mDirect;

    @Option(name = "--steps", metaVar = "X,X", usage = "loads as multiples of capacity")
    private String mSteps = "0.5,0.8,0.95,1.2,2";

    @Option(name = "--step-seconds", metaVar = "N", usage = "length of a step")
    private int mStepSeconds = 10;

    @Option(name = "--runs", metaVar = "N", usage = "how often the steps are run")
    private int mRuns = 1;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the arrivals")
    private long mSeed = 1;

    @Option(name = "--json", metaVar = "FILE", usage = "where to write the result")
    private Path mJson;

    @Option(name = "--html", metaVar = "FILE", usage = "where to write the page with plots")
    private Path mHtml;

    Path profile() {
        return mProfile;
    }

    List<String> targets() {
        return mTargets;
    }

    boolean isDirect() {
        return mDirect;
    }

    List<Double> steps() throws ProcessException {
        try {
            return Arrays.stream(mSteps.split(",")).map(Double::valueOf).toList();
        } catch (NumberFormatException e) {
            throw ProcessException.usage(
                    "--steps " + mSteps + " is not a list of numbers. Write for example 0.5,1.2.");
        }
    }

    Duration stepLength() {
        return Duration.ofSeconds(mStepSeconds);
    }

    int runs() {
        return mRuns;
    }

    long seed() {
        return mSeed;
    }

    Optional<Path> json() {
        return Optional.ofNullable(mJson);
    }

    Optional<Path> html() {
        return Optional.ofNullable(mHtml);
    }
}
