package org.foxtailplank.node;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.Feed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.WaveOrder;
import org.foxtailplank.schedule.DueWave;

/** Follows what the operator writes: the configuration in force and the waves. */
public final class OperatorFollower {
    /** How long a read waits for news, in milliseconds; a dead connection shows soon after. */
    private static final long POLL_WAIT_MS = 800;

    /** Pause after a failed read, in milliseconds. */
    private static final long RETRY_MS = 150;

    private final Feed<OperatorOrder> mFeed;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final Map<Long, DueWave> mWaves = new LinkedHashMap<>();

    private Optional<FleetConfig> mConfig = Optional.empty();
    private boolean mFirstPageRead;
    private long mPosition = -1;
    private long mLastReadMs = Long.MIN_VALUE / 2;

    public OperatorFollower(Feed<OperatorOrder> feed, Clock clock, Timers timers, NodeLog log) {
        mFeed = feed;
        mClock = clock;
        mTimers = timers;
        mLog = log;
    }

    /** The newest configuration. */
    public Optional<FleetConfig> config() {
        return mConfig;
    }

    /** All waves by their numbers. */
    public Map<Long, DueWave> waves() {
        return mWaves;
    }

    /** When the store last answered. */
    public long lastReadMs() {
        return mLastReadMs;
    }

    /** Begins to follow; goes on for ever. */
    public void follow() {
        if (mPosition < 0) {
            mFeed.newest(this::pollCompleted);
        } else {
            mFeed.changes(mPosition, POLL_WAIT_MS, this::pollCompleted);
        }
    }

    private void pollCompleted(Feed.Result<OperatorOrder> result) {
        apply(result);
        if (result instanceof Feed.Page) {
            follow();
        } else {
            mTimers.after(RETRY_MS, this::follow);
        }
    }

    /** Reads what there is now, then says whether that worked. */
    public void refresh(Consumer<Boolean> then) {
        Consumer<Feed.Result<OperatorOrder>> taken =
                r -> {
                    apply(r);
                    then.accept(r instanceof Feed.Page);
                };
        if (mPosition < 0) {
            mFeed.newest(taken);
        } else {
            mFeed.changes(mPosition, 0, taken);
        }
    }

    private void apply(Feed.Result<OperatorOrder> result) {
        if (result instanceof Feed.Gap) {
            // The history was dropped: the newest values tell all that counts.
            mPosition = -1;
        } else if (result instanceof Feed.Page<OperatorOrder> page) {
            mLastReadMs = mClock.nowMs();
            mPosition = Math.max(mPosition, page.next());
            page.items().forEach(this::apply);
            mFirstPageRead = true;
        }
    }

    /** An order that can't be read is another writer's; what the operator said last stays. */
    private void apply(Feed.Item<OperatorOrder> item) {
        if (!item.readable()) {
            mLog.line("order-unreadable").with("key", item.key()).write();
        }
        item.value().ifPresent(this::apply);
    }

    /** A wave that was ordered before this node started may be half over already. */
    private DueWave dueWave(WaveOrder wave) {
        long left = mFirstPageRead ? wave.durationMs() : wave.durationMs() / 2;
        return new DueWave(wave, mClock.nowMs() + left);
    }

    private void apply(OperatorOrder order) {
        if (order instanceof OperatorOrder.NewWave w) {
            if (!mWaves.containsKey(w.wave().number())) {
                mWaves.put(w.wave().number(), dueWave(w.wave()));
                mLog.line("wave-ordered")
                        .with("wave", w.wave().number())
                        .with("vms", w.wave().vms().size())
                        .with("atOnce", w.wave().atOnce())
                        .with("durationMs", w.wave().durationMs())
                        .write();
            }
            return;
        }
        FleetConfig config = ((OperatorOrder.NewConfig) order).config();
        // Versions rise; an older one may still arrive from a read that was on its way.
        if (mConfig.isEmpty() || config.version() > mConfig.get().version()) {
            mConfig = Optional.of(config);
            mLog.line("config")
                    .with("version", config.version())
                    .with("routes", config.routes().size())
                    .write();
        }
    }
}
