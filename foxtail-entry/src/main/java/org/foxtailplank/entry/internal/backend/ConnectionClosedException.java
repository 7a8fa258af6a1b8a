package org.foxtailplank.entry.internal.backend;

import java.io.IOException;

/** Thrown when a connection to a backend server ends before the answer is complete. */
final class ConnectionClosedException extends IOException {

    private static final long serialVersionUID = 1L;

    ConnectionClosedException(String message) {
        super(message);
    }
}
