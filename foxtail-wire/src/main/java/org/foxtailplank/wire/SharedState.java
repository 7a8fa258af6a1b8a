package org.foxtailplank.wire;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.state.StatePosition;

/** The state that a node has folded from the log, as far as its peers need to know it. */
public interface SharedState {

    /** How far the node has followed the log. */
    StatePosition position();

    /**
     * Records that follow on a position, without a gap, up to about so many bytes; empty when the
     * node does not have the first of them at hand.
     */
    CompletionStage<List<TailRecord>> tailAfter(StatePosition position, int maxBytes);

    /** The whole state, rolled up; empty when the node has nothing that others could use. */
    CompletionStage<Optional<byte[]>> rollUp();

    /** Takes records that follow on a position; false when this node is somewhere else. */
    CompletionStage<Boolean> offerTail(StatePosition position, List<TailRecord> tail);

    /** Takes over a state that a peer rolled up, if it is newer than the own one. */
    CompletionStage<Boolean> offerRollUp(byte[] state);

    /** Calls back after each change. */
    void onChange(Runnable listener);
}
