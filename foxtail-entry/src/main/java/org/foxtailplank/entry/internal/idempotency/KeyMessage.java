package org.foxtailplank.entry.internal.idempotency;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.ClaimsPage;
import org.foxtailplank.internal.idempotency.Position;

/** Messages to the {@link KeyCoordinatorActor}. */
sealed interface KeyMessage {

    /** A caller's request, the attempt to run it, and its future answer. */
    record Call(
            CallerRequest request,
            Supplier<CompletionStage<Answer>> attempt,
            CompletableFuture<Answer> answer) {}

    /** A request was received from a caller. */
    record Submitted(Call call) implements KeyMessage {}

    /** A request was handed over by a peer that considers this process the owner of its key. */
    record HandedOver(Call call, Claimant owner) implements KeyMessage {}

    /** A request that was run has its answer. */
    record RunCompleted(long token, Answer answer) implements KeyMessage {}

    /** An append was stored. */
    record Appended(RecordId id) implements KeyMessage {}

    /** An append failed. */
    record AppendFailed(RecordId id, boolean hadNoEffect) implements KeyMessage {}

    /** The claims stream must be read. */
    enum ReadDue implements KeyMessage {
        INSTANCE
    }

    /** The peers' positions were received. */
    record PositionsKnown(List<Position> positions) implements KeyMessage {}

    /** A read succeeded. */
    record PageRead(ClaimsPage page, Instant requestedAt) implements KeyMessage {}

    /** A read failed. */
    record ReadFailed(String reason) implements KeyMessage {}

    /** The interval between appends has passed. */
    enum FlushDue implements KeyMessage {
        INSTANCE
    }

    /** Triggers periodic work. */
    enum Tick implements KeyMessage {
        INSTANCE
    }

    /** A peer requests the read position of this entry. */
    record PositionRequested(CompletableFuture<Position> position) implements KeyMessage {}

    /** Stops the actor. */
    enum Stop implements KeyMessage {
        INSTANCE
    }
}
