package org.foxtailplank.process;

/** Ends a program with an exit code and an error message for its user. */
public final class ProcessException extends Exception {
    private final ExitCode mExitCode;

    private ProcessException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        mExitCode = exitCode;
    }

    /** Creates an exception for an invalid command line or invalid settings. */
    public static ProcessException usage(String message) {
        return new ProcessException(ExitCode.USAGE, message, null);
    }

    /** Creates an exception for a failed program. */
    public static ProcessException failed(String message) {
        return new ProcessException(ExitCode.FAILED, message, null);
    }

    /** Creates an exception for a program that failed with a cause. */
    public static ProcessException failed(String message, Throwable cause) {
        return new ProcessException(ExitCode.FAILED, message, cause);
    }

    /** Returns the exit code of the program. */
    public ExitCode exitCode() {
        return mExitCode;
    }
}
