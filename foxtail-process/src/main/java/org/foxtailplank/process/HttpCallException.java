package org.foxtailplank.process;

/** An HTTP call that brought no usable answer. */
public final class HttpCallException extends Exception {
    private final Kind mKind;

    /** What went wrong, by what it means for the callee. */
    public enum Kind {
        /** No connection was made, so the call certainly had no effect. */
        UNREACHABLE("does not answer"),
        /** No whole answer came in time; the call may have had its effect. */
        TIMEOUT("did not answer in time"),
        /** The connection broke; the call may have had its effect. */
        BROKEN("broke the connection off"),
        /** The answer is larger than allowed, or not in the form expected. */
        MALFORMED("gave an answer that can't be used");

        private final String mWords;

        Kind(String words) {
            mWords = words;
        }

        /** Whether the call may have had its effect. */
        public boolean mayHaveHappened() {
            return this != UNREACHABLE;
        }
    }

    HttpCallException(Kind kind, Object callee, Throwable cause) {
        super(callee + " " + kind.mWords + (cause == null ? "" : ": " + cause.getMessage()), cause);
        mKind = kind;
    }

    /** What went wrong. */
    public Kind kind() {
        return mKind;
    }
}
