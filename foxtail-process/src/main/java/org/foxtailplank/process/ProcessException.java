package org.foxtailplank.process;

/** Ends a program with a message for whoever started it: what happened, why, what to do. */
public final class ProcessException extends Exception {
    private final ExitCode mExitCode;

    private ProcessException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        mExitCode = exitCode;
    }

    /** The command line or the settings are wrong. */
    public static ProcessException usage(String message) {
        return new ProcessException(ExitCode.USAGE, message, null);
    }

    /** The program could not do what it was asked to. */
    public static ProcessException failed(String message) {
        return new ProcessException(ExitCode.FAILED, message, null);
    }

    /** The program could not do what it was asked to, because of another error. */
    public static ProcessException failed(String message, Throwable cause) {
        return new ProcessException(ExitCode.FAILED, message, cause);
    }

    /** How the program ends. */
    public ExitCode exitCode() {
        return mExitCode;
    }
}
