package org.foxtailplank.state;

/** Result of folding one record. */
public sealed interface Verdict {
    /** Verdict of every record that took effect. */
    Verdict APPLIED = new Applied();

    /** Returns the verdict of a void record. */
    static Verdict refused(VoidReason reason, String detail) {
        return new Void(reason, detail);
    }

    /** Returns whether the record took effect. */
    default boolean isApplied() {
        return this instanceof Applied;
    }

    /** The record changed the state. */
    record Applied() implements Verdict {}

    /**
     * The record is void: it changed nothing, for every reader alike.
     *
     * @param reason
     * @param detail description of the conflict
     */
    record Void(VoidReason reason, String detail) implements Verdict {}
}
