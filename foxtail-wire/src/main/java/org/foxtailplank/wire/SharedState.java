package org.foxtailplank.wire;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.state.StatePosition;

/** State folded from the log that a node shares with its peers. */
public interface SharedState {

    /** Returns the position of the state in the log. */
    StatePosition position();

    /**
     * Returns consecutive records after a position, up to about this size; empty if the first of
     * them is not in memory any more.
     */
    CompletionStage<List<TailRecord>> tailAfter(StatePosition position, int maxBytes);

    /** Returns an encoded snapshot of the whole state; empty if there is no state to share. */
    CompletionStage<Optional<byte[]>> snapshot();

    /** Applies records that follow a position; false if this node is at another position. */
    CompletionStage<Boolean> offerTail(StatePosition position, List<TailRecord> tail);

    /** Replaces the state by the snapshot of a peer if that is newer; false otherwise. */
    CompletionStage<Boolean> offerSnapshot(byte[] snapshot);

    /** Registers a listener that is called after each change. */
    void onChange(Runnable listener);
}
