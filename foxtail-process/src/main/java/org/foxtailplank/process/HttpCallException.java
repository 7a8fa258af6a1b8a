package org.foxtailplank.process;

/** Thrown when an HTTP call brings no usable response. */
public final class HttpCallException extends Exception {
    private final Kind mKind;

    /** Kind of failure, by its possible effect on the server. */
    public enum Kind {
        /** No connection was established, so the call had no effect. */
        UNREACHABLE("does not answer"),
        /** No complete response arrived in time; the call may have taken effect. */
        TIMEOUT("did not answer in time"),
        /** The connection was lost; the call may have taken effect. */
        BROKEN("did not complete its response"),
        /** The response is too large or malformed. */
        MALFORMED("sent a response that is too large or malformed");

        private final String mDescription;

        Kind(String description) {
            mDescription = description;
        }

        /** Returns whether the call may have taken effect. */
        public boolean mayHaveTakenEffect() {
            return this != UNREACHABLE;
        }
    }

    HttpCallException(Kind kind, Object callee, Throwable cause) {
        super(
                callee + " " + kind.mDescription + (cause == null ? "" : ": " + cause.getMessage()),
                cause);
        mKind = kind;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return mKind;
    }
}
