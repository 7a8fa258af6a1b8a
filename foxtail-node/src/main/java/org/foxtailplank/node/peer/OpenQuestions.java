package org.foxtailplank.node.peer;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.node.Timers;

/** Questions to the owner that have no answer yet. */
final class OpenQuestions {
    /**
     * How long an answer is waited for, in milliseconds: the owner answers from memory, and who
     * asks can still read the journal after that.
     */
    private static final long RESPONSE_TIMEOUT_MS = 400;

    private final Timers mTimers;
    private final Map<Long, Consumer<Optional<Integer>>> mPending = new LinkedHashMap<>();
    private long mLastNumber;

    OpenQuestions(Timers timers) {
        mTimers = timers;
    }

    /** Notes a question that is about to be sent; returns its number. */
    long add(Consumer<Optional<Integer>> then) {
        long number = ++mLastNumber;
        mPending.put(number, then);
        mTimers.after(RESPONSE_TIMEOUT_MS, () -> complete(number, Optional.empty()));
        return number;
    }

    /** An answer has come; a second one to the same question is passed over. */
    void complete(long number, Optional<Integer> value) {
        Consumer<Optional<Integer>> then = mPending.remove(number);
        if (then != null) {
            then.accept(value);
        }
    }

    /** The connection is gone, and with it all answers. */
    void failAll() {
        List<Consumer<Optional<Integer>>> lost = List.copyOf(mPending.values());
        mPending.clear();
        lost.forEach(l -> l.accept(Optional.empty()));
    }
}
