package org.foxtailplank.node.owner;

import java.util.ArrayDeque;
import java.util.Deque;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.Timers;

/**
 * Clock and timers of a process that can be paused as a whole: what it sends is then sent late, and
 * its timers and the answers to it come late and all together.
 */
final class SimulatedProcess implements Clock, Timers {
    private final FakeTime mTime;
    private final Deque<Runnable> mUnsent = new ArrayDeque<>();
    private final Deque<Runnable> mDueTimers = new ArrayDeque<>();
    private final Deque<Runnable> mReceived = new ArrayDeque<>();
    private boolean mPaused;
    private boolean mEnded;
    private int mSendsUntilPause;
    private Runnable mPauseAtSend = () -> {};

    SimulatedProcess(FakeTime time) {
        mTime = time;
    }

    @Override
    public long nowMs() {
        return mTime.nowMs();
    }

    @Override
    public long wallMs() {
        return mTime.wallMs();
    }

    @Override
    public void after(long delayMs, Runnable action) {
        mTime.after(delayMs, () -> run(action, mDueTimers));
    }

    /** Handles an answer or a message that has arrived. */
    void receive(Runnable action) {
        run(action, mReceived);
    }

    /** Sends a message. */
    void send(Runnable action) {
        if (mSendsUntilPause > 0 && !mPaused && --mSendsUntilPause == 0) {
            mPauseAtSend.run();
        }
        run(action, mUnsent);
    }

    /** Runs an action, which pauses the process, before a later message is sent. */
    void pauseAtSend(int sends, Runnable pause) {
        mSendsUntilPause = sends;
        mPauseAtSend = pause;
    }

    private void run(Runnable action, Deque<Runnable> waiting) {
        if (mEnded) {
            return;
        }
        if (mPaused) {
            waiting.add(action);
        } else {
            action.run();
        }
    }

    boolean isPaused() {
        return mPaused;
    }

    boolean hasEnded() {
        return mEnded;
    }

    void pause() {
        mPaused = true;
    }

    /** Goes on, with the timers or the messages first that have become due. */
    void resume(boolean timersFirst) {
        mPaused = false;
        runAll(mUnsent);
        runAll(timersFirst ? mDueTimers : mReceived);
        runAll(timersFirst ? mReceived : mDueTimers);
    }

    private void runAll(Deque<Runnable> waiting) {
        while (!waiting.isEmpty() && !mPaused && !mEnded) {
            waiting.poll().run();
        }
    }

    /** Kills the process. */
    void end() {
        mEnded = true;
    }
}
