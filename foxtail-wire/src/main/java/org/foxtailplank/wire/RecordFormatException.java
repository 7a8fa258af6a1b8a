package org.foxtailplank.wire;

/** Thrown when bytes are not a valid record or snapshot. */
public final class RecordFormatException extends Exception {
    public RecordFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
