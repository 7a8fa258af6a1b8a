package org.foxtailplank.state;

/** What the fold made of one record. */
public sealed interface Verdict {
    /** The one verdict of records that took effect. */
    Verdict APPLIED = new Applied();

    /** The verdict of a record that changed nothing. */
    static Verdict refused(VoidReason reason, String detail) {
        return new Void(reason, detail);
    }

    /** Whether the record took effect. */
    default boolean isApplied() {
        return this instanceof Applied;
    }

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
