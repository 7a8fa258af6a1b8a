package org.foxtailplank.node.peer;

import org.foxtailplank.node.journal.JournalPosition;

/** What an owner tells its followers of the journal. */
public interface OwnedJournal {
    /** Of a journal that was never read completely, in milliseconds of any clock. */
    long NEVER_MS = Long.MIN_VALUE / 2;

    /** Of a node that doesn't own. */
    OwnedJournal NONE =
            new OwnedJournal() {
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

    /** Up to where the owner has read it. */
    JournalPosition position();

    /** Until when the owner has read it completely, in milliseconds of its steady clock. */
    long completeMs();

    /** How long ago the store last took a record of the owner's, in milliseconds. */
    long storedMsAgo();
}
