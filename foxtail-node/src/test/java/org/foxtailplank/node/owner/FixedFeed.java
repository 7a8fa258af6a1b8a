package org.foxtailplank.node.owner;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.Feed;

/** A feed whose values never change. */
record FixedFeed<T>(List<Feed.Item<T>> items) implements Feed<T> {
    @Override
    public void newest(Consumer<Result<T>> then) {
        then.accept(new Page<>(items, 0));
    }

    @Override
    public void changes(long position, long waitMs, Consumer<Result<T>> then) {
        then.accept(new Page<>(List.of(), 0));
    }
}
