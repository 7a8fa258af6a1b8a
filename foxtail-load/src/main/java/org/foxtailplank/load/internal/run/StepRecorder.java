package org.foxtailplank.load.internal.run;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.foxtailplank.load.internal.result.Percentiles;

/** Counts the endings of one step, with latencies from the intended send time. */
final class StepRecorder {

    private static final long HIGHEST_MICROS = 600_000_000L;
    private static final int DIGITS = 3;

    private final AtomicLongArray mEndings = new AtomicLongArray(Ending.values().length);
    private final Histogram mLatencies = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);

    void record(Ending ending, long nanos) {
        mEndings.incrementAndGet(ending.ordinal());
        if (ending == Ending.OK || ending == Ending.LATE) {
            mLatencies.recordValue(Math.min(HIGHEST_MICROS, Math.max(0, nanos / 1000)));
        }
    }

    long count(Ending ending) {
        return mEndings.get(ending.ordinal());
    }

    Map<Ending, Long> endings() {
        Map<Ending, Long> counts = new TreeMap<>();
        for (Ending ending : Ending.values()) {
            counts.put(ending, count(ending));
        }
        return counts;
    }

    Percentiles percentiles() {
        return Percentiles.ofMicros(mLatencies);
    }
}
