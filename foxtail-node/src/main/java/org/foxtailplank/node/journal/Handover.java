package org.foxtailplank.node.journal;

import java.util.function.Consumer;

/** Another way for a record into the journal: through the owner, which writes for all nodes. */
public interface Handover {
    /**
     * An owner whose last record was stored this lately can store others, in milliseconds: its
     * signs of life are 400 ms apart.
     */
    long STORING_MS = 1000;

    /** Answers of the store that are allowed for on top of that, one for each of its appends. */
    int ANSWERS = 4;

    /**
     * Whether an owner can store records.
     *
     * @param storedMsAgo when the store last took a record of it
     * @param answerMs how long the store lately took for an answer
     */
    static boolean isStoring(long storedMsAgo, long answerMs) {
        return storedMsAgo < STORING_MS + ANSWERS * answerMs;
    }

    /** Whether there is an owner that can be reached and whose records the store takes. */
    boolean isOpen();

    /** Hands a record over; {@code then} runs once in any case. */
    void handOver(byte[] record, Consumer<StoreOutcome> then);
}
