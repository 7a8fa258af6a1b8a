package org.foxtailplank.fleet;

import org.foxtailplank.state.JobSpec;

/**
 * An amount of resources that a worker offers or a task uses.
 *
 * <p>Sums and multiples beyond the range of the fields are the largest or smallest value: a
 * negative sum would make a full worker seem free.
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
                sum(milliProcessors, other.milliProcessors),
                sum(memoryBytes, other.memoryBytes),
                toInt((long) accelerators + other.accelerators));
    }

    public Resources minus(Resources other) {
        return new Resources(
                difference(milliProcessors, other.milliProcessors),
                difference(memoryBytes, other.memoryBytes),
                toInt((long) accelerators - other.accelerators));
    }

    public Resources times(int factor) {
        return new Resources(
                product(milliProcessors, factor),
                product(memoryBytes, factor),
                toInt((long) accelerators * factor));
    }

    private static long sum(long a, long b) {
        long sum = a + b;
        boolean overflows = ((a ^ sum) & (b ^ sum)) < 0;
        return overflows ? limit(a < 0) : sum;
    }

    private static long difference(long a, long b) {
        long difference = a - b;
        boolean overflows = ((a ^ b) & (a ^ difference)) < 0;
        return overflows ? limit(a < 0) : difference;
    }

    private static long product(long a, int factor) {
        long product = a * factor;
        boolean overflows = Math.multiplyHigh(a, factor) != product >> (Long.SIZE - 1);
        return overflows ? limit(a < 0 != factor < 0) : product;
    }

    private static long limit(boolean negative) {
        return negative ? Long.MIN_VALUE : Long.MAX_VALUE;
    }

    private static int toInt(long value) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, value));
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
