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

/** What the keeper of keys is told. */
sealed interface KeyMessage {

    /** A caller's request that waits for its answer. */
    record Call(
            CallerRequest request,
            Supplier<CompletionStage<Answer>> attempt,
            CompletableFuture<Answer> answer) {}

    /** A caller's request has arrived at this entry. */
    record Submitted(Call call) implements KeyMessage {}

    /** A peer takes this process to own the key of a request. */
    record HandedOver(Call call, Claimant owner) implements KeyMessage {}

    /** An attempt has ended. */
    record Ran(long token, Answer answer) implements KeyMessage {}

    /** An append has taken effect. */
    record Appended(RecordId id) implements KeyMessage {}

    /** An append has failed. */
    record AppendFailed(RecordId id, boolean hadNoEffect) implements KeyMessage {}

    /** The next read is due. */
    enum ReadDue implements KeyMessage {
        INSTANCE
    }

    /** Peers have told their positions. */
    record PositionsKnown(List<Position> positions) implements KeyMessage {}

    /** A read that was asked for at some time has succeeded. */
    record PageRead(ClaimsPage page, Instant asked) implements KeyMessage {}

    /** A read has failed. */
    record ReadFailed(String why) implements KeyMessage {}

    /** Claims may be appended again. */
    enum FlushDue implements KeyMessage {
        INSTANCE
    }

    /** Time passes. */
    enum Tick implements KeyMessage {
        INSTANCE
    }

    /** A peer asks how far this entry has read. */
    record PositionAsked(CompletableFuture<Position> position) implements KeyMessage {}

    /** The process stops. */
    enum Stop implements KeyMessage {
        INSTANCE
    }
}
