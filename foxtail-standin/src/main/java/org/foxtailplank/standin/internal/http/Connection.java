package org.foxtailplank.standin.internal.http;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;

/** One client's connection; lets two answers on it change places. */
public final class Connection {

    private static final long SWAP_WAIT_MS = 500;

    /** Why a connection broke. */
    static final Exception CUT = new IOException("cut by a fault");

    private final SharedKillSwitch mKill = KillSwitches.shared("connection");
    private Optional<Held> mHeld = Optional.empty();

    /**
     * Swaps an answer with the one of the next request that asks for a swap, as a server does that
     * mixes up pipelined answers; goes out as it is when no other comes.
     */
    public synchronized CompletionStage<Reply> swap(Reply reply) {
        if (mHeld.isPresent() && !mHeld.get().swapped().isDone()) {
            Held held = mHeld.get();
            mHeld = Optional.empty();
            held.swapped().complete(reply);
            return CompletableFuture.completedFuture(held.reply());
        }
        CompletableFuture<Reply> swapped = new CompletableFuture<>();
        mHeld = Optional.of(new Held(reply, swapped));
        return swapped.completeOnTimeout(reply, SWAP_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Breaks the connection at once, whatever is in flight on it. */
    public void cut() {
        mKill.abort(CUT);
    }

    SharedKillSwitch killSwitch() {
        return mKill;
    }

    private record Held(Reply reply, CompletableFuture<Reply> swapped) {}
}
