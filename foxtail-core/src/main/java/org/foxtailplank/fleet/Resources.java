package org.foxtailplank.fleet;

import org.foxtailplank.state.JobSpec;

/**
 * An amount of resources that a worker offers or a task uses.
 *
 * @param milliProcessors thousandths of a processor core
 * @param memoryBytes memory
 * @param accelerators accelerators
 */
public record Resources(long milliProcessors, long memoryBytes, int accelerators) {

    public static final Resources NONE = new Resources(0, 0, 0);

    private static final long MILLI_PER_PROCESSOR = 1000;

    /** Returns an amount with whole processors. */
    public static Resources of(int processors, long memoryBytes, int accelerators) {
        return new Resources(processors * MILLI_PER_PROCESSOR, memoryBytes, accelerators);
    }

    /** Returns the amount that a job declares for each task. */
    public static Resources declaredBy(JobSpec spec) {
        return of(spec.processors(), spec.memoryBytes(), spec.accelerators());
    }

    public Resources plus(Resources other) {
        return new Resources(
                milliProcessors + other.milliProcessors,
                memoryBytes + other.memoryBytes,
                accelerators + other.accelerators);
    }

    public Resources minus(Resources other) {
        return new Resources(
                milliProcessors - other.milliProcessors,
                memoryBytes - other.memoryBytes,
                accelerators - other.accelerators);
    }

    public Resources times(int factor) {
        return new Resources(milliProcessors * factor, memoryBytes * factor, accelerators * factor);
    }

    /** Returns whether this amount is within the other one. */
    public boolean fitsIn(Resources room) {
        return milliProcessors <= room.milliProcessors && fitsButProcessors(room);
    }

    /** Returns whether this amount is within the other one, ignoring processors. */
    public boolean fitsButProcessors(Resources room) {
        return memoryBytes <= room.memoryBytes && accelerators <= room.accelerators;
    }
}
