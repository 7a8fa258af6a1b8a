package org.foxtailplank.request;

import java.util.Locale;
import java.util.Optional;

/** How urgent a request or a job is; earlier constants go first. */
public enum RequestClass {
    URGENT,
    INTERACTIVE,
    BATCH;

    /** Name of the header by which a caller states the class. */
    public static final String HEADER = "Foxtail-Class";

    /** The class as written in settings and headers. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Reads a class from settings or headers. */
    public static Optional<RequestClass> parse(String text) {
        for (RequestClass c : values()) {
            if (c.text().equals(text)) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }
}
