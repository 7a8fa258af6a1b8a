package org.foxtailplank.cli.internal.command;

/** The one place where the operators' program words its errors. */
public final class CliMessages {
    private CliMessages() {}

    static String unknownCommand(String words) {
        return "there is no command \"" + words + "\"; these are known:";
    }
}
