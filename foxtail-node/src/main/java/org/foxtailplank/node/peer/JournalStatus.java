package org.foxtailplank.node.peer;

import org.foxtailplank.node.journal.JournalPosition;

/** Status of the owner's journal, as its heartbeats report it. */
public interface JournalStatus {
    /** {@link #completeMs} of a journal that was never read to its end. */
    long NEVER_MS = Long.MIN_VALUE / 2;

    /** Status that a node reports while it doesn't own. */
    JournalStatus NONE =
            new JournalStatus() {
                @Override
                public JournalPosition position() {
                    return JournalPosition.START;
                }

                @Override
                public long completeMs() {
                    return NEVER_MS;
                }

                @Override
                public long storedMsAgo() {
                    return 0;
                }
            };

    /** Returns the position up to which the owner has read the journal. */
    JournalPosition position();

    /**
     * Returns the time, on the owner's monotonic clock, up to which it has read every record
     * stored.
     */
    long completeMs();

    /** Returns how long ago the store last accepted a record of the owner, in milliseconds. */
    long storedMsAgo();
}
