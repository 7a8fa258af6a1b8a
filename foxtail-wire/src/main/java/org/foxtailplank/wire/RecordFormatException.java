package org.foxtailplank.wire;

/** Bytes that are no record of the log, for any version of the program. */
public final class RecordFormatException extends Exception {
    /** Describes what was found. */
    public RecordFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
