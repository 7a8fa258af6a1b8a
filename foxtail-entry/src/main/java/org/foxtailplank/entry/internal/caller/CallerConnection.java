package org.foxtailplank.entry.internal.caller;

import java.net.InetAddress;
import org.apache.pekko.stream.KillSwitch;

/** A caller's connection, with the times at which it is idle. */
final class CallerConnection {

    private final InetAddress mCaller;
    private final KillSwitch mKillSwitch;
    private volatile boolean mBusy;
    private volatile long mIdleSince;

    CallerConnection(InetAddress caller, KillSwitch killSwitch, long now) {
        mCaller = caller;
        mKillSwitch = killSwitch;
        mIdleSince = now;
    }

    InetAddress caller() {
        return mCaller;
    }

    boolean busy() {
        return mBusy;
    }

    void begin() {
        mBusy = true;
    }

    void end(long now) {
        mIdleSince = now;
        mBusy = false;
    }

    /** Whether no complete request head has arrived for a given time. */
    boolean idleFor(long nanos, long now) {
        return !mBusy && now - mIdleSince > nanos;
    }

    void close() {
        mKillSwitch.shutdown();
    }
}
