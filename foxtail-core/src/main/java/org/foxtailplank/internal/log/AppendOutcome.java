package org.foxtailplank.internal.log;

/** What became of a group. */
public sealed interface AppendOutcome {

    /**
     * It stands on the log.
     *
     * @param first offset of its first record
     * @param end offset after the stream's last record, as known then
     */
    record Appended(long first, long end) implements AppendOutcome {}

    /**
     * It certainly does not stand on the log, and never will.
     *
     * @param why the reason
     */
    record NotAppended(String why) implements AppendOutcome {}

    /**
     * Nobody can tell: it may stand on the log, or come to stand there.
     *
     * @param why the reason
     */
    record Unresolved(String why) implements AppendOutcome {}
}
