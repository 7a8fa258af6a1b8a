package org.foxtailplank.cli.internal.command;

import java.util.List;
import java.util.function.Supplier;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Launcher;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.foxtailplank.process.StopSignal;

/** One command of the operators' program. */
public final class Command {
    private final List<String> mWords;
    private final String mSummary;
    private final Runner mRunner;

    /**
     * What a command does.
     *
     * @param <O> its options
     */
    @FunctionalInterface
    public interface Body<O extends ProgramOptions> {
        /** Runs the command. */
        ExitCode run(O options, Console console) throws ProcessException, InterruptedException;
    }

    private interface Runner {
        ExitCode run(String name, String[] args, Console console);
    }

    private Command(List<String> words, String summary, Runner runner) {
        mWords = words;
        mSummary = summary;
        mRunner = runner;
    }

    /** A command by its words, for example {@code settings check}. */
    public static <O extends ProgramOptions> Command of(
            String words, String summary, Supplier<O> options, Body<O> body) {
        Runner runner =
                (name, args, console) ->
                        Launcher.named(name, console.out(), console.err())
                                .run(
                                        args,
                                        options.get(),
                                        (o, stop) -> body.run(o, console),
                                        new StopSignal());
        return new Command(List.of(words.split(" ")), summary, runner);
    }

    /** Its words. */
    public List<String> words() {
        return mWords;
    }

    /** What it does, in a line. */
    public String summary() {
        return mSummary;
    }

    /** Runs it with the arguments that follow its words. */
    public ExitCode run(String[] args, Console console) {
        return mRunner.run("foxtail " + String.join(" ", mWords), args, console);
    }
}
