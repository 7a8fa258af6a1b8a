package org.foxtailplank.state;

/** What the fold made of one record. */
public sealed interface Verdict {

    /** The record changed the state. */
    record Applied() implements Verdict {}

    /**
     * The record changed nothing, for every reader alike.
     *
     * @param reason why
     * @param detail the object or the record that stood against it
     */
    record Void(VoidReason reason, String detail) implements Verdict {}
}
