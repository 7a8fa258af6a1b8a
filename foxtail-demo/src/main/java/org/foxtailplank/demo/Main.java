package org.foxtailplank.demo;

import org.foxtailplank.process.Launcher;

/** Starts {@code foxtail demo}. */
public final class Main {

    private Main() {}

    /** Runs the demo to its end; exit status 1 where a promise did not hold. */
    public static void main(String[] args) {
        Launcher.named("foxtail demo").main(args, new DemoOptions(), new DemoProgram(System.out));
    }
}
