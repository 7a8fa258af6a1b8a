package org.foxtailplank.internal.log;

import java.util.List;

/** Next action that an append queue requires. */
public sealed interface AppendStep {

    /**
     * Append groups in one call.
     *
     * @param groups groups, in order
     */
    record Append(List<AppendGroup> groups) implements AppendStep {

        public Append {
            groups = List.copyOf(groups);
        }
    }

    /** Read the end offset of the stream. */
    record FindEnd() implements AppendStep {}

    /**
     * Read the stream to find a batch whose append got no response.
     *
     * @param from offset to read from
     */
    record ReadBack(long from) implements AppendStep {}

    /**
     * Request the next step later.
     *
     * @param until time at which to request it
     */
    record Wait(long until) implements AppendStep {}

    /** Do nothing until another event. */
    record Idle() implements AppendStep {}
}
