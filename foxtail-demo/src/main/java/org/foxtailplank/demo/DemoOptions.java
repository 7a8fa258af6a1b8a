package org.foxtailplank.demo;

import java.nio.file.Path;
import org.foxtailplank.process.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Options of the demo. */
final class DemoOptions extends ProgramOptions {

    @Option(name = "--deployment", metaVar = "stabilis|laurentides", usage = "which one to run")
    private String mDeployment = "stabilis";

    @Option(name = "--examples", metaVar = "DIR", usage = "directory with the examples")
    private Path mExamples = Path.of("examples");

    @Option(name = "--rate", metaVar = "N", usage = "callers' requests a second")
    private double mRate = 200;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the callers' requests")
    private long mSeed = 1;

    Path directory() {
        return mExamples.resolve(mDeployment);
    }

    String deployment() {
        return mDeployment;
    }

    double rate() {
        return mRate;
    }

    long seed() {
        return mSeed;
    }
}
