package org.foxtailplank.request;

import java.util.Optional;

/** What became of one attempt at a caller's request, as told to the caller. */
public enum Outcome {
    /** The whole answer of the backend server is in the body. */
    OK("ok"),
    /** The attempt certainly did not run. */
    NOT_RUN("not-run"),
    /** The attempt may have run, and its answer is not known. */
    UNKNOWN("unknown");

    /** Name of the header that carries the outcome on every answer. */
    public static final String HEADER = "Foxtail-Outcome";

    private final String mText;

    Outcome(String text) {
        mText = text;
    }

    /** The header's value. */
    public String text() {
        return mText;
    }

    /** Reads a header's value. */
    public static Optional<Outcome> parse(String text) {
        for (Outcome outcome : values()) {
            if (outcome.mText.equals(text)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }
}
