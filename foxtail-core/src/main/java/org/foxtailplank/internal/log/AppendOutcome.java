package org.foxtailplank.internal.log;

/** Outcome of the append of a group. */
public sealed interface AppendOutcome {

    /**
     * The group was appended.
     *
     * @param first offset of the first record of the group
     * @param end known end offset of the stream after the append
     */
    record Appended(long first, long end) implements AppendOutcome {}

    /**
     * The group wasn't appended and won't be.
     *
     * @param reason reason for the failure
     */
    record NotAppended(String reason) implements AppendOutcome {}

    /**
     * The outcome is unknown; the group may have been appended, or may still be.
     *
     * @param reason reason for the failure
     */
    record Unresolved(String reason) implements AppendOutcome {}
}
