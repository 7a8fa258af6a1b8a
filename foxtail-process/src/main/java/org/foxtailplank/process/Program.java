package org.foxtailplank.process;

/**
 * Main logic of a program, run after its command line is parsed.
 *
 * @param <O> type of its command line options
 */
@FunctionalInterface
public interface Program<O extends ProgramOptions> {
    /** Runs until the program is done or a stop is requested. */
    ExitCode run(O options, StopSignal stop) throws ProcessException, InterruptedException;
}
