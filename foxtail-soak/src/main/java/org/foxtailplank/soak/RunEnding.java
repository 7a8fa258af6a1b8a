package org.foxtailplank.soak;

import java.util.Locale;
import java.util.Optional;

/** What strikes as the callers' time is over; all that was accepted must be known after it. */
public enum RunEnding {
    /** Nothing. */
    CALM,
    /** All nodes are killed, and start again. */
    ALL_KILLED,
    /** All nodes are killed right after a job was accepted; one of each zone never comes back. */
    ALL_KILLED_AFTER_ACCEPT,
    /** The nodes of the owner's zone never come back. */
    OWNER_ZONE_GONE;

    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Optional<RunEnding> of(String word) {
        for (RunEnding e : values()) {
            if (e.word().equals(word)) {
                return Optional.of(e);
            }
        }
        return Optional.empty();
    }
}
