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

    private final ChangeFeed<OperatorChange> mFeed;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final Map<Long, DueWave> mWaves = new LinkedHashMap<>();
    private final List<Runnable> mListeners = new ArrayList<>();

    private Optional<FleetConfig> mConfig = Optional.empty();
    private boolean mFirstPageRead;
    private long mPosition = -1;
    private Confirmation mConfirmation = Confirmation.NONE;
    private ClockReading mLastFailedAt = new ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);
    private boolean mFailing;
    private long mReadsSent;
    private long mLastConfirmedRead;
    private long mLastFailedRead;
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
            notifyListeners();
        }
    }

    /** Returns the number of reads sent so far. */
    public long readsSent() {
        return mReadsSent;
    }

    /** Returns whether a read after the given number has confirmed the configuration. */
    public boolean isConfirmedSince(long readsSent) {
        return mLastConfirmedRead > readsSent;
    }

    /** Returns whether a read after the given number has failed. */
    public boolean hasFailedSince(long readsSent) {
        return mLastFailedRead > readsSent;
    }

    /**
     * Returns whether the configuration couldn't be read although its confirmation was this old.
     */
    public boolean hasFailedAtAge(long ageMs) {
        return mConfirmation.ageMs(mLastFailedAt) > ageMs;
    }

    /** Adds a listener that is called after each read and after each message of a peer. */
    public void addListener(Runnable listener) {
        mListeners.add(listener);
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
            notifyListeners();
        }
    }

    /** Starts polling, which never ends. */
    public void follow() {
        read(
                POLL_WAIT_MS,
                result -> {
                    if (result instanceof ChangeFeed.Page) {
                        follow();
                    } else {
                        mTimers.after(RETRY_MS, this::follow);
                    }
                });
    }

    /** Reads all changes written so far, on another connection than the long poll. */
    public void refresh() {
        refresh(() -> {});
    }

    /** Reads all changes written so far, then runs a callback, whether that succeeded or not. */
    public void refresh(Runnable callback) {
        read(0, result -> callback.run());
    }

    private void read(long waitMs, Consumer<ChangeFeed.Result<OperatorChange>> callback) {
        SentRead read = new SentRead(++mReadsSent, mClock.moment());
        Consumer<ChangeFeed.Result<OperatorChange>> listener =
                result -> {
                    apply(result, read);
                    callback.accept(result);
                };
        if (mPosition < 0) {
            mFeed.latest(listener);
        } else {
            mFeed.changes(mPosition, waitMs, listener);
        }
    }

    private record SentRead(long number, ClockReading sentAt) {}

    private void apply(ChangeFeed.Result<OperatorChange> result, SentRead read) {
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
                mConfirmation = mConfirmation.extendedBy(read.sentAt());
                mLastConfirmedRead = Math.max(mLastConfirmedRead, read.number());
            }
        } else {
            mLastFailedAt = read.sentAt();
            mLastFailedRead = Math.max(mLastFailedRead, read.number());
        }
        notifyListeners();
    }

    private void notifyListeners() {
        mListeners.forEach(Runnable::run);
    }

    /** Ignores unreadable changes, which leave the last readable value in force. */
    private void apply(ChangeFeed.Item<OperatorChange> item) {
        item.problem()
                .ifPresent(
                        why ->
                                mLog.line("order-unreadable")
                                        .with("key", item.key())
                                        .with("why", why)
                                        .write());
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
