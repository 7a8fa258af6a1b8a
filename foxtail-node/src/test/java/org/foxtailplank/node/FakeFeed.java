package org.foxtailplank.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.port.Feed;

/** A feed that tells at the next read what the test has put into it. */
public final class FakeFeed<T> implements Feed<T> {
    private final List<Item<T>> mItems = new ArrayList<>();
    private long mNext;

    /** A value under a key. */
    public void put(String key, T value) {
        mItems.add(new Item<>(key, Optional.of(value)));
    }

    /** The key is dropped. */
    public void drop(String key) {
        mItems.add(new Item<>(key, Optional.empty()));
    }

    /** Another writer's record under a key. */
    public void putForeign(String key) {
        mItems.add(Item.unreadable(key));
    }

    @Override
    public void newest(Consumer<Result<T>> then) {
        then.accept(page());
    }

    @Override
    public void changes(long position, long waitMs, Consumer<Result<T>> then) {
        then.accept(page());
    }

    private Page<T> page() {
        mNext += mItems.size();
        Page<T> page = new Page<>(List.copyOf(mItems), mNext);
        mItems.clear();
        return page;
    }
}
