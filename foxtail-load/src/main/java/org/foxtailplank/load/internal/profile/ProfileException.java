package org.foxtailplank.load.internal.profile;

/** A profile can't be used. */
public final class ProfileException extends Exception {

    /** Describes what is wrong, and what to do. */
    public ProfileException(String message, Throwable cause) {
        super(message, cause);
    }
}
