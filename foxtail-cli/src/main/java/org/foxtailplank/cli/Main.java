package org.foxtailplank.cli;

/** Entry point of the operators' program {@code foxtail}. */
public final class Main {
    private Main() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        System.exit(Cli.ofProcess().run(args).status());
    }
}
