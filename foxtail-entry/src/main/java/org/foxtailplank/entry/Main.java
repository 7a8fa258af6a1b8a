package org.foxtailplank.entry;

import org.foxtailplank.process.Launcher;

/** Main class of {@code foxtail-entry}. */
public final class Main {
    private Main() {}

    /** Runs an entry until it is asked to stop. */
    public static void main(String[] args) {
        Launcher.named("foxtail-entry").main(args, new EntryOptions(), new EntryProgram());
    }
}
