package org.foxtailplank.wire;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The state that a node has folded from the log, as far as its peers need to know it. */
public interface SharedState {

    /** How far the node has folded. */
    CompletionStage<StatePosition> position();

    /**
     * Records from an offset on, without a gap, up to about so many bytes.
     *
     * <p>Empty when the node no longer has the first of them.
     */
    CompletionStage<Optional<List<TailRecord>>> tail(long from, int maxBytes);

    /** The whole state, rolled up; empty when the node has folded nothing. */
    CompletionStage<Optional<RolledUpState>> rollUp();

    /**
     * Folds records that a peer has; those already folded are left out, none is taken over a gap.
     */
    CompletionStage<StatePosition> offerTail(List<TailRecord> tail);

    /** Takes over a state that a peer rolled up, if it is newer than the own one. */
    CompletionStage<StatePosition> offerRollUp(RolledUpState state);

    /** Calls back after each change. */
    void onChange(Runnable listener);
}
