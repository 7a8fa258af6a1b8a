package org.foxtailplank.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.port.ChangeFeed;

/** A feed whose reads are answered by the test, in the order in which they were sent. */
public final class HeldFeed<T> implements ChangeFeed<T> {
    private final Deque<Consumer<Result<T>>> mReads = new ArrayDeque<>();

    @Override
    public void latest(Consumer<Result<T>> callback) {
        mReads.add(callback);
    }

    @Override
    public void changes(long position, long waitMs, Consumer<Result<T>> callback) {
        mReads.add(callback);
    }

    /** Number of reads without an answer. */
    public int pendingReads() {
        return mReads.size();
    }

    /** Answers the oldest read with all changes up to the end of the feed. */
    public void answer(String key, T value) {
        mReads.remove().accept(new Page<>(List.of(new Item<>(key, Optional.of(value))), 1, true));
    }

    /** Answers the oldest read with several changes, up to the end of the feed. */
    public void answerAll(String key, List<T> values) {
        List<Item<T>> items = values.stream().map(v -> new Item<>(key, Optional.of(v))).toList();
        mReads.remove().accept(new Page<>(items, 1, true));
    }

    /** Answers the oldest read: there are no changes. */
    public void answerEmpty() {
        mReads.remove().accept(new Page<>(List.of(), 1, true));
    }

    /** Answers the oldest read with a page that others follow. */
    public void answerPartly() {
        mReads.remove().accept(new Page<>(List.of(), 1, false));
    }

    /** Fails the oldest read. */
    public void fail() {
        mReads.remove().accept(new Failed<>("unavailable"));
    }
}
