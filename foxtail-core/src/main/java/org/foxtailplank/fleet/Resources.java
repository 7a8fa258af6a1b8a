package org.foxtailplank.fleet;

import org.foxtailplank.state.JobSpec;

/**
 * An amount of what a worker offers and a task takes.
 *
 * @param milliProcessors thousandths of a processor core
 * @param memoryBytes memory
 * @param accelerators accelerators
 */
public record Resources(long milliProcessors, long memoryBytes, int accelerators) {

    public static final Resources NONE = new Resources(0, 0, 0);

    private static final long MILLI = 1000;

    /** Whole processors, memory and accelerators. */
    public static Resources of(int processors, long memoryBytes, int accelerators) {
        return new Resources(processors * MILLI, memoryBytes, accelerators);
    }

    /** What one task of a job declares. */
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

    /** Whether this amount is within the other one. */
    public boolean fitsIn(Resources room) {
        return milliProcessors <= room.milliProcessors && fitsButProcessors(room);
    }

    /** Whether this amount is within the other one, processors aside. */
    public boolean fitsButProcessors(Resources room) {
        return memoryBytes <= room.memoryBytes && accelerators <= room.accelerators;
    }
}
