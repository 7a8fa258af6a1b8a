package org.foxtailplank.node.log;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.foxtailplank.node.Clock;

/**
 * Structured log with one JSON object per line. Logging never blocks the caller.
 *
 * <p>Each kind of line is rate-limited; the next line of the kind contains the number of suppressed
 * ones. A writer thread drains a bounded queue; lines that don't fit are dropped and counted.
 */
public final class NodeLog {
    /** Maximum number of lines of one kind per second. */
    private static final int MAX_LINES_PER_S = 200;

    /** The same for each of {@link #RUN_KINDS}, which tell where a task may run. */
    private static final int MAX_RUN_LINES_PER_S = 1000;

    private static final Set<String> RUN_KINDS =
            Set.of(
                    "start-order",
                    "late-start-order",
                    "relayed-start",
                    "run-lapsed",
                    "run-ended-with-worker",
                    "run-gone",
                    "run-dropped",
                    "run-inherited",
                    "start-not-inherited");

    /** Maximum number of queued lines. */
    private static final int QUEUE_CAPACITY = 4000;

    private static final long MS_PER_S = 1000;

    private final Clock mClock;
    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Map<String, RateLimit> mRateLimits = new HashMap<>();
    private long mDroppedLines;

    private static final class RateLimit {
        final int mMaxPerS;
        long mSecond;
        int mWritten;
        long mSuppressed;

        RateLimit(String kind) {
            mMaxPerS = RUN_KINDS.contains(kind) ? MAX_RUN_LINES_PER_S : MAX_LINES_PER_S;
        }
    }

    private NodeLog(Clock clock) {
        mClock = clock;
    }

    /** Creates a log that is written to a stream by a daemon thread. */
    public static NodeLog to(PrintStream out, Clock clock) {
        NodeLog log = new NodeLog(clock);
        Thread writer = new Thread(() -> log.writeLoop(out), "log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    /** Creates a log without a writer thread, whose lines stay in the queue. */
    public static NodeLog silent(Clock clock) {
        return new NodeLog(clock);
    }

    /** Starts a line; the caller adds fields and then calls {@link LogLine#write}. */
    public LogLine line(String kind) {
        RateLimit budget = mRateLimits.computeIfAbsent(kind, RateLimit::new);
        long second = mClock.nowMs() / MS_PER_S;
        if (second != budget.mSecond) {
            budget.mSecond = second;
            budget.mWritten = 0;
        }
        if (budget.mWritten >= budget.mMaxPerS) {
            budget.mSuppressed++;
            return LogLine.SUPPRESSED;
        }
        budget.mWritten++;
        LogLine line = new LogLine(this, kind, mClock.wallMs());
        if (budget.mSuppressed > 0) {
            line.with("leftOut", budget.mSuppressed);
            budget.mSuppressed = 0;
        }
        return line;
    }

    void enqueue(String line) {
        if (!mQueue.offer(line)) {
            mDroppedLines++;
        }
    }

    /** Number of lines dropped because the queue was full. */
    public long droppedLines() {
        return mDroppedLines;
    }

    private void writeLoop(PrintStream out) {
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

    /** Writes the queued lines; called at the end of the process. */
    public void flush(PrintStream out) {
        for (String line = mQueue.poll(); line != null; line = mQueue.poll()) {
            out.println(line);
        }
        out.flush();
    }
}
