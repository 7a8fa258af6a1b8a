package org.foxtailplank.load.internal.command;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.foxtailplank.load.internal.fleet.FleetOptions;
import org.foxtailplank.load.internal.fleet.FleetProgram;
import org.foxtailplank.load.internal.waits.WaitsOptions;
import org.foxtailplank.load.internal.waits.WaitsProgram;
import org.foxtailplank.process.Launcher;

/** The commands of foxtail-load. */
public enum LoadCommand {
    /** Sends load and writes results. */
    RUN("run", "send load, step by step, and write results", LoadCommand::run),
    /** Compares two results. */
    COMPARE("compare", "compare two results: compare A.json B.json", LoadCommand::compare),
    /** Measures the fleet decisions. */
    FLEET("fleet", "measure fleet decisions against a naive baseline", LoadCommand::fleet),
    /** Tells for what jobs waited. */
    WAITS("waits", "tell from nodes' logs for what jobs waited: waits LOG", LoadCommand::waits);

    private final String mName;
    private final String mSummary;
    private final Consumer<String[]> mMain;

    LoadCommand(String name, String summary, Consumer<String[]> main) {
        mName = name;
        mSummary = summary;
        mMain = main;
    }

    /** The command of a name. */
    public static Optional<LoadCommand> named(String name) {
        return Arrays.stream(values()).filter(c -> c.mName.equals(name)).findFirst();
    }

    /** The commands, a line each. */
    public static String usage() {
        return "usage: foxtail-load COMMAND [options]; foxtail-load COMMAND --help\n"
                + Arrays.stream(values())
                        .map(c -> String.format("  %-8s %s%n", c.mName, c.mSummary))
                        .collect(Collectors.joining());
    }

    /** Runs the command to the end of the process. */
    public void main(String[] args) {
        mMain.accept(args);
    }

    private static void run(String[] args) {
        Launcher.named("foxtail-load run").main(args, new RunOptions(), new RunProgram());
    }

    private static void compare(String[] args) {
        Launcher.named("foxtail-load compare")
                .main(args, new CompareOptions(), new CompareProgram(System.out));
    }

    private static void fleet(String[] args) {
        Launcher.named("foxtail-load fleet")
                .main(args, new FleetOptions(), new FleetProgram(System.out));
    }

    private static void waits(String[] args) {
        Launcher.named("foxtail-load waits")
                .main(args, new WaitsOptions(), new WaitsProgram(System.out));
    }
}
