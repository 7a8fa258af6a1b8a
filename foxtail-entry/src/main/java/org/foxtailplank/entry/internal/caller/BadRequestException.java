package org.foxtailplank.entry.internal.caller;

import org.foxtailplank.entry.Answer;

/** Thrown for an invalid request; holds the answer to return. */
final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Answer mAnswer;

    BadRequestException(Answer answer) {
        super("bad request");
        mAnswer = answer;
    }

    Answer answer() {
        return mAnswer;
    }
}
