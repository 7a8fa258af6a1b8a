package org.foxtailplank.entry.internal.backend;

import java.io.IOException;

/** A connection to a backend server ended before the answer was whole. */
final class ConnectionClosedException extends IOException {

    private static final long serialVersionUID = 1L;

    ConnectionClosedException(String message) {
        super(message);
    }
}
