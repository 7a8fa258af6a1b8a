package org.foxtailplank.controller;

import org.foxtailplank.process.Launcher;
import org.foxtailplank.process.ProgramOptions;

/** Starts the binary {@code foxtail-controller}. */
public final class Main {
    private Main() {}

    /** Runs a controller until the process is asked to stop. */
    public static void main(String[] args) {
        Launcher.named("foxtail-controller")
                .main(args, new ProgramOptions(), new ControllerProgram());
    }
}
