package org.foxtailplank.entry.internal.caller;

import java.net.InetAddress;
import org.apache.pekko.stream.KillSwitch;

/** One caller's connection and whether a request is on it. */
final class CallerConnection {

    private final InetAddress mCaller;
    private final KillSwitch mSwitch;
    private volatile boolean mBusy;
    private volatile long mIdleSince;

    CallerConnection(InetAddress caller, KillSwitch killSwitch, long now) {
        mCaller = caller;
        mSwitch = killSwitch;
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

    /** Whether no whole request head has come for a time. */
    boolean idleFor(long nanos, long now) {
        return !mBusy && now - mIdleSince > nanos;
    }

    void close() {
        mSwitch.shutdown();
    }
}
