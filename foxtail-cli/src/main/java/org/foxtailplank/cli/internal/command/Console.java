package org.foxtailplank.cli.internal.command;

import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;

/** Where a command prints to, and what its environment says. */
public final class Console {
    private static final String REWRITE_LINE = "\r\u001b[K";

    private final PrintStream mOut;
    private final PrintStream mErr;
    private final boolean mTerminal;
    private final Map<String, String> mEnvironment;
    private String mLastProgress = "";

    /** A console on streams; progress is rewritten in place on a terminal only. */
    public Console(
            PrintStream out, PrintStream err, boolean terminal, Map<String, String> environment) {
        mOut = out;
        mErr = err;
        mTerminal = terminal;
        mEnvironment = Map.copyOf(environment);
    }

    /** Stream of results. */
    public PrintStream out() {
        return mOut;
    }

    /** Stream of errors. */
    public PrintStream err() {
        return mErr;
    }

    /** A variable of the environment. */
    public Optional<String> environment(String name) {
        return Optional.ofNullable(mEnvironment.get(name)).filter(v -> !v.isBlank());
    }

    /** Prints one line of a result. */
    public void line(String text) {
        endProgress();
        mOut.println(text);
    }

    /** Prints one line of an error. */
    public void error(String text) {
        endProgress();
        mErr.println(text);
    }

    /** Shows how far something is: in place on a terminal, else a line for each change. */
    public void progress(String text) {
        if (text.equals(mLastProgress)) {
            return;
        }
        mLastProgress = text;
        if (mTerminal) {
            mErr.print(REWRITE_LINE + text);
            mErr.flush();
        } else {
            mErr.println(text);
        }
    }

    private void endProgress() {
        if (mTerminal && !mLastProgress.isEmpty()) {
            mErr.println();
        }
        mLastProgress = "";
    }
}
