package org.foxtailplank.cli.internal.command;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Version;

/** All commands, found by their words. */
public final class CommandTable {
    private static final String PROGRAM = "foxtail";

    private final List<Command> mCommands;

    /** A table of commands. */
    public CommandTable(List<Command> commands) {
        mCommands = List.copyOf(commands);
    }

    /** Runs the command that the arguments start with. */
    public ExitCode run(String[] args, Console console) {
        List<String> all = List.of(args);
        if (all.equals(List.of("--version"))) {
            console.line(PROGRAM + " " + Version.text());
            return ExitCode.DONE;
        }
        if (all.isEmpty() || all.get(0).equals("--help") || all.get(0).equals("-h")) {
            list(console, "");
            return all.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        Optional<Command> command = find(all);
        if (command.isPresent()) {
            int words = command.get().words().size();
            return command.get().run(Arrays.copyOfRange(args, words, args.length), console);
        }
        console.error(CliMessages.unknownCommand(String.join(" ", all)));
        list(console, all.get(0));
        return ExitCode.USAGE;
    }

    private Optional<Command> find(List<String> args) {
        return mCommands.stream()
                .filter(c -> startsWith(args, c.words()))
                .max(Comparator.comparingInt(c -> c.words().size()));
    }

    private static boolean startsWith(List<String> args, List<String> words) {
        return args.size() >= words.size() && args.subList(0, words.size()).equals(words);
    }

    /** Lists the commands of a group, or all when there is no such group. */
    private void list(Console console, String group) {
        List<Command> some =
                mCommands.stream().filter(c -> c.words().get(0).equals(group)).toList();
        console.line("usage: " + PROGRAM + " COMMAND [options]; COMMAND --help lists its options");
        console.line(String.format("  %-18s %s", "demo", "runs a whole deployment in one process"));
        for (Command command : some.isEmpty() ? mCommands : some) {
            String words = String.join(" ", command.words());
            console.line(String.format("  %-18s %s", words, command.summary()));
        }
        console.line("exit status: 0 done, 1 failed, 2 usage or settings are wrong");
    }
}
