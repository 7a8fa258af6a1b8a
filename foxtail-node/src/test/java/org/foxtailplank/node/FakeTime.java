package org.foxtailplank.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A manually advanced clock with its timers. */
public final class FakeTime implements Clock, Timers {
    private static final long WALL_MS = 1_700_000_000_000L;

    private final List<Due> mDue = new ArrayList<>();
    private long mNowMs = 1000;
    private long mWallOffsetMs;

    private record Due(long atMs, Runnable action) {}

    @Override
    public long nowMs() {
        return mNowMs;
    }

    @Override
    public long wallMs() {
        return WALL_MS + mNowMs + mWallOffsetMs;
    }

    @Override
    public void after(long delayMs, Runnable action) {
        mDue.add(new Due(mNowMs + delayMs, action));
    }

    /** Sets the wall clock forward or back; a suspension of the VM sets it forward. */
    public void stepWallClock(long ms) {
        mWallOffsetMs += ms;
    }

    /** Advances the clock and runs the actions that become due, in order. */
    public void advance(long ms) {
        long end = mNowMs + ms;
        while (true) {
            Due next =
                    mDue.stream()
                            .filter(d -> d.atMs() <= end)
                            .min(Comparator.comparingLong(Due::atMs))
                            .orElse(null);
            if (next == null) {
                mNowMs = end;
                return;
            }
            mDue.remove(next);
            mNowMs = Math.max(mNowMs, next.atMs());
            next.action().run();
        }
    }
}
