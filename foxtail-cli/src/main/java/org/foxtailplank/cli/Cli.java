package org.foxtailplank.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.CommandTable;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.cli.internal.config.ConfigCommands;
import org.foxtailplank.cli.internal.fleet.ExplainCommand;
import org.foxtailplank.cli.internal.fleet.FleetCommands;
import org.foxtailplank.cli.internal.fleet.WaveCommands;
import org.foxtailplank.cli.internal.report.ReportCommands;
import org.foxtailplank.cli.internal.settings.SettingsCommands;
import org.foxtailplank.process.ExitCode;

/** The operators' program: finds a command by its words and runs it. */
public final class Cli {
    private final Console mConsole;
    private final CommandTable mTable;

    private Cli(Console console) {
        mConsole = console;
        mTable = new CommandTable(commands());
    }

    /** The program on the streams and environment of its process. */
    public static Cli ofProcess() {
        return new Cli(
                new Console(System.out, System.err, System.console() != null, System.getenv()));
    }

    /** The program on given streams, as if not on a terminal. */
    public static Cli on(PrintStream out, PrintStream err, Map<String, String> environment) {
        return new Cli(new Console(out, err, false, environment));
    }

    /** Runs one command. */
    public ExitCode run(String... args) {
        return mTable.run(args, mConsole);
    }

    private static List<Command> commands() {
        List<Command> commands = new ArrayList<>();
        commands.addAll(SettingsCommands.all());
        commands.addAll(ConfigCommands.all());
        commands.addAll(FleetCommands.all());
        commands.addAll(WaveCommands.all());
        commands.add(ExplainCommand.command());
        commands.addAll(ReportCommands.all());
        return commands;
    }
}
