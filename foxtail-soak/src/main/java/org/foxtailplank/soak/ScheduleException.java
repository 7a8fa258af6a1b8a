package org.foxtailplank.soak;

/** A text that is no schedule; the message names the line. */
public final class ScheduleException extends Exception {
    private static final long serialVersionUID = 1L;

    ScheduleException(int line, String problem) {
        super("line " + line + ": " + problem);
    }
}
