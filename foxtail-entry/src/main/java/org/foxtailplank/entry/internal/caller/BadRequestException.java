package org.foxtailplank.entry.internal.caller;

import org.foxtailplank.entry.Answer;

/** A caller's request that is answered without looking further. */
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
