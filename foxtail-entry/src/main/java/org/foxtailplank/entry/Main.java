package org.foxtailplank.entry;

import org.foxtailplank.process.Launcher;
import org.foxtailplank.process.ProgramOptions;

/** Starts the binary {@code foxtail-entry}. */
public final class Main {
    private Main() {}

    /** Runs an entry until it is asked to stop. */
    public static void main(String[] args) {
        Launcher.named("foxtail-entry").main(args, new ProgramOptions(), new EntryProgram());
    }
}
