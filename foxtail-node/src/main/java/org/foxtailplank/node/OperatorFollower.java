package org.foxtailplank.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.schedule.DueWave;

/** Follows the operator's changes: the current configuration and the maintenance waves. */
public final class OperatorFollower {
    /** Wait time of a long poll, in milliseconds; bounds how late a dead connection is noticed. */
    private static final long POLL_WAIT_MS = 800;

    /** Delay after a failed read, in milliseconds. */
    private static final long RETRY_MS = 150;

    /** How long a request waits for a version that is known to exist, in milliseconds. */
    private static final long VERSION_WAIT_MS = 150;

    /**
     * Time after which a version that is waited for is read on another connection, in milliseconds:
     * the long poll's connection may have failed silently.
     */
    private static final long EXTRA_READ_DELAY_MS = 50;

    private final ChangeFeed<OperatorChange> mFeed;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final Map<Long, DueWave> mWaves = new LinkedHashMap<>();
    private final List<VersionWaiter> mWaiters = new ArrayList<>();

    private Optional<FleetConfig> mConfig = Optional.empty();
    private boolean mFirstPageRead;
    private boolean mExtraReadPending;
    private long mPosition = -1;
    private long mLastReadMs = Long.MIN_VALUE / 2;
    private long mPreviousReadMs = Long.MIN_VALUE / 2;

    public OperatorFollower(
            ChangeFeed<OperatorChange> feed, Clock clock, Timers timers, NodeLog log) {
        mFeed = feed;
        mClock = clock;
        mTimers = timers;
        mLog = log;
    }

    /** Returns the newest configuration read. */
    public Optional<FleetConfig> config() {
        return mConfig;
    }

    /** Returns the version of the newest configuration read; -1 without one. */
    public long version() {
        return mConfig.map(FleetConfig::version).orElse(-1L);
    }

    private record VersionWaiter(long version, Consumer<Boolean> callback) {}

    /**
     * Waits a short time until a configuration of at least this version was read, and reports
     * whether it was.
     */
    public void awaitVersion(long version, Consumer<Boolean> callback) {
        if (version() >= version) {
            callback.accept(true);
            return;
        }
        VersionWaiter waiter = new VersionWaiter(version, callback);
        mWaiters.add(waiter);
        if (!mExtraReadPending) {
            mExtraReadPending = true;
            mTimers.after(EXTRA_READ_DELAY_MS, this::readAgain);
        }
        mTimers.after(
                VERSION_WAIT_MS,
                () -> {
                    if (mWaiters.remove(waiter)) {
                        callback.accept(false);
                    }
                });
    }

    private void readAgain() {
        if (mWaiters.isEmpty()) {
            mExtraReadPending = false;
        } else {
            refresh(read -> mExtraReadPending = false);
        }
    }

    /** Returns all waves by number. */
    public Map<Long, DueWave> waves() {
        return mWaves;
    }

    /** Returns when a read last succeeded. */
    public long lastReadMs() {
        return mLastReadMs;
    }

    /** Applies a configuration that another node has read, if it is newer. */
    public void offer(FleetConfig config) {
        if (config.version() > version()) {
            mLog.line("config-from-peer").with("version", config.version()).write();
            apply(new OperatorChange.NewConfig(config));
        }
    }

    /** Starts polling, which never ends. */
    public void follow() {
        if (mPosition < 0) {
            mFeed.latest(this::pollCompleted);
        } else {
            mFeed.changes(mPosition, POLL_WAIT_MS, this::pollCompleted);
        }
    }

    private void pollCompleted(ChangeFeed.Result<OperatorChange> result) {
        apply(result);
        if (result instanceof ChangeFeed.Page) {
            follow();
        } else {
            mTimers.after(RETRY_MS, this::follow);
        }
    }

    /** Reads all changes written so far, then reports whether that succeeded. */
    public void refresh(Consumer<Boolean> callback) {
        Consumer<ChangeFeed.Result<OperatorChange>> listener =
                r -> {
                    apply(r);
                    callback.accept(r instanceof ChangeFeed.Page);
                };
        if (mPosition < 0) {
            mFeed.latest(listener);
        } else {
            mFeed.changes(mPosition, 0, listener);
        }
    }

    private void apply(ChangeFeed.Result<OperatorChange> result) {
        if (result instanceof ChangeFeed.Gap) {
            // The changes are no longer available: the next read fetches the newest values.
            mPosition = -1;
        } else if (result instanceof ChangeFeed.Page<OperatorChange> page) {
            mPreviousReadMs = mLastReadMs;
            mLastReadMs = mClock.nowMs();
            mPosition = Math.max(mPosition, page.next());
            page.items().forEach(this::apply);
            mFirstPageRead = true;
        }
    }

    /** Ignores unreadable changes, which leave the last readable value in force. */
    private void apply(ChangeFeed.Item<OperatorChange> item) {
        if (!item.readable()) {
            mLog.line("order-unreadable").with("key", item.key()).write();
        }
        item.value().ifPresent(this::apply);
    }

    /** Gives a wave ordered before this node started only half of its duration. */
    private DueWave dueWave(MaintenanceWave wave) {
        long remainingMs = mFirstPageRead ? wave.durationMs() : wave.durationMs() / 2;
        return new DueWave(wave, mClock.nowMs() + remainingMs);
    }

    private void apply(OperatorChange change) {
        if (change instanceof OperatorChange.NewWave w) {
            if (!mWaves.containsKey(w.wave().number())) {
                mWaves.put(w.wave().number(), dueWave(w.wave()));
                mLog.line("wave-ordered")
                        .with("wave", w.wave().number())
                        .with("vms", w.wave().vms().size())
                        .with("atOnce", w.wave().maxConcurrent())
                        .with("durationMs", w.wave().durationMs())
                        .write();
            }
            return;
        }
        FleetConfig config = ((OperatorChange.NewConfig) change).config();
        // Concurrent reads may deliver an older version late.
        if (mConfig.isEmpty() || config.version() > mConfig.get().version()) {
            logNewConfig(config);
            mConfig = Optional.of(config);
            notifyWaiters();
        }
    }

    private void notifyWaiters() {
        List<VersionWaiter> served =
                mWaiters.stream().filter(w -> w.version() <= version()).toList();
        mWaiters.removeAll(served);
        served.forEach(w -> w.callback().accept(true));
    }

    private void logNewConfig(FleetConfig config) {
        Map<String, String> servicesBefore =
                mConfig.map(OperatorFollower::servicesByRoute).orElse(Map.of());
        Map<String, String> services = servicesByRoute(config);
        Set<String> kept = new HashSet<>(services.keySet());
        kept.retainAll(servicesBefore.keySet());
        mLog.line("config")
                .with("version", config.version())
                .with("routes", services.size())
                .with("added", services.size() - kept.size())
                .with("dropped", servicesBefore.size() - kept.size())
                .with(
                        "moved",
                        kept.stream()
                                .filter(r -> !services.get(r).equals(servicesBefore.get(r)))
                                .count())
                .with("sinceReadMs", mClock.nowMs() - mPreviousReadMs)
                .write();
    }

    /** Returns the service of each route, by the route's host and prefix. */
    private static Map<String, String> servicesByRoute(FleetConfig config) {
        Map<String, String> services = new HashMap<>();
        config.routes().forEach(r -> services.put(r.host() + r.pathPrefix(), r.service()));
        return services;
    }
}
