package org.foxtailplank.node.log;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.foxtailplank.node.Clock;

/**
 * Writes one JSON object a line for each decision, without ever waiting for whoever reads it.
 *
 * <p>Each kind of line has a budget a second; lines beyond it are counted, and the count stands in
 * the next line of the kind. Lines wait for their writer in a queue of limited length; those that
 * don't fit are counted too.
 */
public final class NodeLog {
    /** Lines of one kind a second: a busy second of one owner, half over. */
    private static final int LINES_PER_S = 200;

    /** Lines that may wait to be written: some seconds of all kinds together. */
    private static final int QUEUE_LINES = 4000;

    private static final long MS_PER_S = 1000;

    private final Clock mClock;
    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<String, Budget> mBudgets = new HashMap<>();
    private long mOverflow;

    private static final class Budget {
        long mSecond;
        int mWritten;
        long mLeftOut;
    }

    private NodeLog(Clock clock) {
        mClock = clock;
    }

    /** A log that a thread of its own writes to a stream. */
    public static NodeLog to(PrintStream out, Clock clock) {
        NodeLog log = new NodeLog(clock);
        Thread writer = new Thread(() -> log.writeAll(out), "log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    /** A log that nobody reads. */
    public static NodeLog silent(Clock clock) {
        return new NodeLog(clock);
    }

    /** A line of a kind, to be filled and written. */
    public LogLine line(String kind) {
        Budget budget = mBudgets.computeIfAbsent(kind, k -> new Budget());
        long second = mClock.nowMs() / MS_PER_S;
        if (second != budget.mSecond) {
            budget.mSecond = second;
            budget.mWritten = 0;
        }
        if (budget.mWritten >= LINES_PER_S) {
            budget.mLeftOut++;
            return LogLine.NONE;
        }
        budget.mWritten++;
        LogLine line = new LogLine(this, kind, mClock.wallMs());
        if (budget.mLeftOut > 0) {
            line.with("leftOut", budget.mLeftOut);
            budget.mLeftOut = 0;
        }
        return line;
    }

    void write(String line) {
        if (!mQueue.offer(line)) {
            mOverflow++;
        }
    }

    /** Lines that found the queue full. */
    public long overflow() {
        return mOverflow;
    }

    private void writeAll(PrintStream out) {
        StringBuilder text = new StringBuilder();
        try {
            while (true) {
                text.append(mQueue.take()).append('\n');
                for (String more = mQueue.poll(); more != null; more = mQueue.poll()) {
                    text.append(more).append('\n');
                }
                out.print(text);
                out.flush();
                text.setLength(0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what still waits; for the end of the process. */
    public void flush(PrintStream out) {
        for (String line = mQueue.poll(); line != null; line = mQueue.poll()) {
            out.println(line);
        }
        out.flush();
    }
}
