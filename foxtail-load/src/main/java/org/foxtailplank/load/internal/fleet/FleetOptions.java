package org.foxtailplank.load.internal.fleet;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Options of {@code foxtail-load fleet}. */
public final class FleetOptions extends ProgramOptions {

    @Option(name = "--large", usage = "15,000 workers in 83 pools instead of the settings' fleet")
    private boolean mLarge;

    @Option(name = "--only", metaVar = "capacity|curve|cost|placement", usage = "one part alone")
    private String mOnly;

    @Option(name = "--weights", metaVar = "W,W", usage = "weights of the curve")
    private String mWeights = "0,0.1,0.25,0.5,0.75,0.9,1";

    @Option(name = "--wave-hour", metaVar = "H", usage = "hour at which the wave starts")
    private int mWaveHour = 9;

    @Option(name = "--curve-hour", metaVar = "H", usage = "the same for the curve")
    private int mCurveHour = 2;

    @Option(name = "--minutes", metaVar = "N", usage = "length of a placement run")
    private int mMinutes = 240;

    @Option(name = "--seed", metaVar = "N", usage = "seed of demand, jobs and faults")
    private long mSeed = 1;

    @Option(name = "--json", metaVar = "FILE", usage = "where to write the result")
    private Path mJson;

    @Option(name = "--html", metaVar = "FILE", usage = "where to write the page with plots")
    private Path mHtml;

    FleetScenario scenario() throws ProcessException {
        return mLarge ? FleetScenario.large() : FleetScenario.of(settings());
    }

    boolean isLarge() {
        return mLarge;
    }

    boolean runs(String part) {
        return mOnly == null || mOnly.equals(part);
    }

    List<Double> weights() throws ProcessException {
        try {
            return Arrays.stream(mWeights.split(",")).map(Double::valueOf).toList();
        } catch (NumberFormatException e) {
            throw ProcessException.usage(
                    "--weights " + mWeights + " is not a list of numbers. Write 0,0.5,1.");
        }
    }

    long waveMs() {
        return mWaveHour * FaultTimes.HOUR_MS;
    }

    long curveWaveMs() {
        return mCurveHour * FaultTimes.HOUR_MS;
    }

    long placementMs() {
        return mMinutes * FaultTimes.MINUTE_MS;
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
