package org.foxtailplank.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.lease.Confirmation;
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

    /** How long a request waits for a version or a confirmation, in milliseconds. */
    private static final long MAX_WAIT_MS = 150;

    /**
     * Time after which what is waited for is read on another connection, in milliseconds: the long
     * poll's connection may have failed silently.
     */
    private static final long EXTRA_READ_DELAY_MS = 50;

    private final ChangeFeed<OperatorChange> mFeed;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final Map<Long, DueWave> mWaves = new LinkedHashMap<>();
    private final List<Waiter> mWaiters = new ArrayList<>();

    private Optional<FleetConfig> mConfig = Optional.empty();
    private boolean mFirstPageRead;
    private boolean mExtraReadPending;
    private long mPosition = -1;
    private Confirmation mConfirmation = Confirmation.NONE;
    private ClockReading mLastFailedAt = new ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);
    private boolean mFailing;
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

    /**
     * Returns how long ago the configuration was last known to be the newest, in milliseconds.
     *
     * <p>The time counts from the request that confirmed it. A long poll that isn't answered, or a
     * page that is followed by others, confirms nothing.
     */
    public long confirmedAgeMs() {
        return mConfirmation.ageMs(mClock.moment());
    }

    /** Returns whether the last read failed. */
    public boolean isFailing() {
        return mFailing;
    }

    /**
     * Applies the confirmation of a peer that a version was the newest.
     *
     * @param confirmedAt when it was, on this node's clocks
     */
    public void confirm(long version, ClockReading confirmedAt) {
        if (version() >= version) {
            mConfirmation = mConfirmation.extendedBy(confirmedAt);
            notifyWaiters();
        }
    }

    private record Waiter(BooleanSupplier condition, Consumer<Boolean> callback) {}

    /**
     * Waits a short time until a configuration of at least this version was read, and reports
     * whether it was.
     */
    public void awaitVersion(long version, Consumer<Boolean> callback) {
        await(() -> version() >= version, callback);
    }

    /**
     * Waits a short time until the configuration was the newest at most this long ago, and reports
     * whether it was. Reports at once that it wasn't if a read has failed since.
     */
    public void awaitConfirmation(long maxAgeMs, Consumer<Boolean> callback) {
        boolean failed = mConfirmation.ageMs(mLastFailedAt) > maxAgeMs;
        if (failed && confirmedAgeMs() > maxAgeMs) {
            callback.accept(false);
        } else {
            await(() -> confirmedAgeMs() <= maxAgeMs, callback);
        }
    }

    private void await(BooleanSupplier condition, Consumer<Boolean> callback) {
        if (condition.getAsBoolean()) {
            callback.accept(true);
            return;
        }
        Waiter waiter = new Waiter(condition, callback);
        mWaiters.add(waiter);
        if (!mExtraReadPending) {
            mExtraReadPending = true;
            mTimers.after(EXTRA_READ_DELAY_MS, this::readAgain);
        }
        mTimers.after(
                MAX_WAIT_MS,
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
            notifyWaiters();
        }
    }

    /** Starts polling, which never ends. */
    public void follow() {
        ClockReading sentAt = mClock.moment();
        if (mPosition < 0) {
            mFeed.latest(r -> pollCompleted(r, sentAt));
        } else {
            mFeed.changes(mPosition, POLL_WAIT_MS, r -> pollCompleted(r, sentAt));
        }
    }

    private void pollCompleted(ChangeFeed.Result<OperatorChange> result, ClockReading sentAt) {
        apply(result, sentAt);
        if (result instanceof ChangeFeed.Page) {
            follow();
        } else {
            mTimers.after(RETRY_MS, this::follow);
        }
    }

    /** Reads all changes written so far, then reports whether that succeeded. */
    public void refresh(Consumer<Boolean> callback) {
        ClockReading sentAt = mClock.moment();
        Consumer<ChangeFeed.Result<OperatorChange>> listener =
                r -> {
                    apply(r, sentAt);
                    callback.accept(r instanceof ChangeFeed.Page);
                };
        if (mPosition < 0) {
            mFeed.latest(listener);
        } else {
            mFeed.changes(mPosition, 0, listener);
        }
    }

    private void apply(ChangeFeed.Result<OperatorChange> result, ClockReading sentAt) {
        mFailing = result instanceof ChangeFeed.Failed;
        if (result instanceof ChangeFeed.Gap) {
            // The changes are no longer available: the next read fetches the newest values.
            mPosition = -1;
        } else if (result instanceof ChangeFeed.Page<OperatorChange> page) {
            mPreviousReadMs = mLastReadMs;
            mLastReadMs = mClock.nowMs();
            mPosition = Math.max(mPosition, page.next());
            page.items().forEach(this::apply);
            mFirstPageRead = true;
            if (page.last()) {
                mConfirmation = mConfirmation.extendedBy(sentAt);
            }
            notifyWaiters();
        } else {
            mLastFailedAt = sentAt;
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
        }
    }

    private void notifyWaiters() {
        List<Waiter> served = mWaiters.stream().filter(w -> w.condition().getAsBoolean()).toList();
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
