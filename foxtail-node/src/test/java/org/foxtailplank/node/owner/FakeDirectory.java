package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.WorkerInfo;

/** A worker directory that tests modify. */
final class FakeDirectory implements ChangeFeed<WorkerInfo> {
    private final List<Item<WorkerInfo>> mItems = new ArrayList<>();
    private int mFirst;
    private int mFullReads;

    /** Adds a worker with eight cores. */
    void add(String id, String service) {
        add(id, service, "10.0.0.1:1");
    }

    /** The same for an incarnation whose start time is known, in milliseconds since the epoch. */
    void add(String id, long startMs, String service) {
        add(id, startMs, service, "10.0.0.1:1");
    }

    void add(String id, long startMs, String service, String address) {
        add(new WorkerIncarnation(id, startMs), service, address);
    }

    /** The same with the address that the worker listens on, as {@code ip:port}. */
    void add(String id, String service, String address) {
        add(WorkerIncarnation.ofUnknownStart(id), service, address);
    }

    private void add(WorkerIncarnation incarnation, String service, String address) {
        WorkerInfo info =
                new WorkerInfo(
                        incarnation,
                        service,
                        address,
                        "zone",
                        Resources.of(8, 1L << 40, 0),
                        Set.of("a", "r1"),
                        "r1",
                        false);
        mItems.add(new Item<>(incarnation.id(), Optional.of(info)));
    }

    /** Replaces a worker's entry by one that can't be parsed, as a foreign writer does. */
    void addUnreadable(String id) {
        mItems.add(Item.unreadable(id, "not an entry"));
    }

    /** Removes a worker, as when its heartbeats stop. */
    void remove(String id) {
        mItems.add(new Item<>(id, Optional.empty()));
    }

    /** Drops the history, as a platform that compacts the directory's topic does. */
    void dropHistory() {
        mFirst = mItems.size() + 1;
    }

    /** Number of reads of all entries. */
    int fullReads() {
        return mFullReads;
    }

    @Override
    public void latest(Consumer<Result<WorkerInfo>> callback) {
        mFullReads++;
        callback.accept(new Page<>(List.copyOf(mItems), mItems.size(), true));
    }

    @Override
    public void changes(long position, long waitMs, Consumer<Result<WorkerInfo>> callback) {
        if (position < mFirst && mItems.size() >= mFirst) {
            callback.accept(new Gap<>());
            return;
        }
        List<Item<WorkerInfo>> news = mItems.subList((int) position, mItems.size());
        callback.accept(new Page<>(List.copyOf(news), mItems.size(), true));
    }
}
