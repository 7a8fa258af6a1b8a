package org.foxtailplank.process;

/**
 * What a binary does once its command line is read.
 *
 * @param <O> its options
 */
@FunctionalInterface
public interface Program<O extends ProgramOptions> {
    /** Runs to the end, or until it is asked to stop. */
    ExitCode run(O options, StopSignal stop) throws ProcessException, InterruptedException;
}
