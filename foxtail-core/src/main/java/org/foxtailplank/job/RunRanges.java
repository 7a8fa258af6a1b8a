package org.foxtailplank.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A set of runs of a job's steps, stored as ranges of their numbers. */
final class RunRanges {
    private final TreeMap<Integer, Integer> mLastByFirst = new TreeMap<>();
    private long mCount;

    /** Number of runs in the set. */
    long count() {
        return mCount;
    }

    boolean contains(int run) {
        Map.Entry<Integer, Integer> range = mLastByFirst.floorEntry(run);
        return range != null && range.getValue() >= run;
    }

    /** Smallest number from {@code run} on that isn't in the set. */
    int firstMissing(int run) {
        Map.Entry<Integer, Integer> range = mLastByFirst.floorEntry(run);
        return range != null && range.getValue() >= run ? range.getValue() + 1 : run;
    }

    /** Adds runs; those that the set contains stay as they are. */
    void add(RunRange added) {
        int first = added.first();
        int last = added.last();
        Map.Entry<Integer, Integer> before = mLastByFirst.floorEntry(first);
        if (before != null && before.getValue() >= first - 1) {
            first = before.getKey();
        }
        Map.Entry<Integer, Integer> joined = mLastByFirst.ceilingEntry(first);
        while (joined != null && joined.getKey() <= last + 1) {
            last = Math.max(last, joined.getValue());
            mCount -= new RunRange(joined.getKey(), joined.getValue()).count();
            mLastByFirst.remove(joined.getKey());
            joined = mLastByFirst.ceilingEntry(first);
        }
        mLastByFirst.put(first, last);
        mCount += new RunRange(first, last).count();
    }

    /** The runs as ranges that don't touch each other, in ascending order. */
    List<RunRange> ranges() {
        List<RunRange> ranges = new ArrayList<>();
        mLastByFirst.forEach((first, last) -> ranges.add(new RunRange(first, last)));
        return ranges;
    }
}
