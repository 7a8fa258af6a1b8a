package org.foxtailplank.it.history;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.internal.idempotency.ClaimPeers;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.platform.PlatformLog;

/** Takes guards away round an entry, so that a test sees the history checker object. */
interface Tampering {

    /** Nothing is taken away. */
    Tampering NONE = new Tampering() {};

    /** Who the entry says it is. */
    default Claimant self(Claimant self) {
        return self;
    }

    /** The log that it sees. */
    default PlatformLog log(Claimant self, PlatformLog log) {
        return log;
    }

    /** The peers that it hands requests to; {@code run} sends one to a backend server. */
    default ClaimPeers peers(
            ClaimPeers peers, Function<CallerRequest, CompletionStage<Answer>> run) {
        return peers;
    }

    /** The attempt that it makes. */
    default Supplier<CompletionStage<Answer>> attempt(Supplier<CompletionStage<Answer>> attempt) {
        return attempt;
    }
}
