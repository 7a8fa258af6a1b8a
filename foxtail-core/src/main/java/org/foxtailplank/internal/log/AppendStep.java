package org.foxtailplank.internal.log;

import java.util.List;

/** What an append queue wants done next. */
public sealed interface AppendStep {

    /**
     * Append these groups in one call.
     *
     * @param groups the groups, in order
     */
    record Append(List<AppendGroup> groups) implements AppendStep {

        public Append {
            groups = List.copyOf(groups);
        }
    }

    /** Find out where the stream ends. */
    record FindEnd() implements AppendStep {}

    /**
     * Read the stream from an offset, to look for a batch whose answer was lost.
     *
     * @param from the offset
     */
    record ReadBack(long from) implements AppendStep {}

    /**
     * Ask again at this time.
     *
     * @param until the time
     */
    record Wait(long until) implements AppendStep {}

    /** Nothing to do until something else happens. */
    record Idle() implements AppendStep {}
}
