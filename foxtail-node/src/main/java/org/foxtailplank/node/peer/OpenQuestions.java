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
    private static final long ANSWER_MS = 400;

    private final Timers mTimers;
    private final Map<Long, Consumer<Optional<Integer>>> mOpen = new LinkedHashMap<>();
    private long mLast;

    OpenQuestions(Timers timers) {
        mTimers = timers;
    }

    /** Notes a question that is about to be sent; returns its number. */
    long ask(Consumer<Optional<Integer>> then) {
        long number = ++mLast;
        mOpen.put(number, then);
        mTimers.after(ANSWER_MS, () -> answered(number, Optional.empty()));
        return number;
    }

    /** An answer has come; a second one to the same question is passed over. */
    void answered(long number, Optional<Integer> value) {
        Consumer<Optional<Integer>> then = mOpen.remove(number);
        if (then != null) {
            then.accept(value);
        }
    }

    /** The connection is gone, and with it all answers. */
    void lose() {
        List<Consumer<Optional<Integer>>> lost = List.copyOf(mOpen.values());
        mOpen.clear();
        lost.forEach(l -> l.accept(Optional.empty()));
    }
}
