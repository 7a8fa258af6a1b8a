package org.foxtailplank.load;

import java.util.Arrays;
import org.foxtailplank.load.internal.command.LoadCommand;
import org.foxtailplank.process.ExitCode;

/** The binary {@code foxtail-load}: its first argument names the command. */
public final class Main {

    private Main() {}

    /** Runs one command and ends the process with its exit status. */
    public static void main(String[] args) {
        String name = args.length == 0 ? "--help" : args[0];
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        LoadCommand.named(name).ifPresentOrElse(command -> command.main(rest), () -> usage(name));
    }

    private static void usage(String name) {
        boolean asked = name.equals("--help") || name.equals("-h");
        (asked ? System.out : System.err).print(LoadCommand.usage());
        System.exit((asked ? ExitCode.DONE : ExitCode.USAGE).status());
    }
}
