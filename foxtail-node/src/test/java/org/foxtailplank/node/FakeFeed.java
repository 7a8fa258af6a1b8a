package org.foxtailplank.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.port.ChangeFeed;

/** A feed whose next read returns the items that a test has added. */
public final class FakeFeed<T> implements ChangeFeed<T> {
    private final List<Item<T>> mItems = new ArrayList<>();
    private long mNext;

    /** Adds a value for a key. */
    public void put(String key, T value) {
        mItems.add(new Item<>(key, Optional.of(value)));
    }

    /** Adds the deletion of a key. */
    public void putDeletion(String key) {
        mItems.add(new Item<>(key, Optional.empty()));
    }

    /** Adds an unreadable record for a key, as another writer's. */
    public void putUnreadable(String key) {
        mItems.add(Item.unreadable(key, "malformed"));
    }

    @Override
    public void latest(Consumer<Result<T>> callback) {
        callback.accept(page());
    }

    @Override
    public void changes(long position, long waitMs, Consumer<Result<T>> callback) {
        callback.accept(page());
    }

    private Page<T> page() {
        mNext += mItems.size();
        Page<T> page = new Page<>(List.copyOf(mItems), mNext, true);
        mItems.clear();
        return page;
    }
}
