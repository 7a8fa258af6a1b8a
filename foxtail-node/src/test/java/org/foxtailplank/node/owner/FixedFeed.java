package org.foxtailplank.node.owner;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.ChangeFeed;

/** A feed whose values never change. */
record FixedFeed<T>(List<ChangeFeed.Item<T>> items) implements ChangeFeed<T> {
    @Override
    public void latest(Consumer<Result<T>> callback) {
        callback.accept(new Page<>(items, 0, true));
    }

    @Override
    public void changes(long position, long waitMs, Consumer<Result<T>> callback) {
        callback.accept(new Page<>(List.of(), 0, true));
    }
}
