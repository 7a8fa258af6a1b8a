package org.foxtailplank.schedule;

import java.util.List;
import org.foxtailplank.fleet.Resources;

/**
 * Sizes of VMs and jobs of a {@link TurnLoad}.
 *
 * @param vm capacity of a VM
 * @param poolVms VMs of each pool at the beginning
 * @param standbyVms VMs of the standby pool at the beginning
 * @param meanCores cores that all batch jobs use on average
 * @param standing standing jobs of each pool
 * @param queues batch jobs, in the order of their turns
 * @param stragglers share of the tasks whose run time is a multiple of the others'
 */
record TurnShape(
        Resources vm,
        int poolVms,
        int standbyVms,
        double meanCores,
        Standing standing,
        List<Queue> queues,
        double stragglers) {
    private static final long GB = 1L << 30;

    /** Small VMs whose memory is scarce, and run times that are often far from their estimates. */
    static final TurnShape SMALL_VMS =
            new TurnShape(
                    Resources.of(16, 32 * GB, 0),
                    20,
                    166,
                    1300,
                    new Standing(1, 20, 2200, 2200, 6, 0, 6),
                    List.of(
                            new Queue("photo", 16.5, 1.6, 1500, 2.8, 1000, 0.5),
                            new Queue("levels", 3.98, 2, 3300, 6.2, 1700, 0.88),
                            new Queue("soils", 20.7, 1.6, 1500, 2.8, 1000, 0.5),
                            new Queue("valuation", 4.86, 2, 3300, 6.2, 1700, 0.88)),
                    0);

    /** Load A: standing tasks fill the memory, and some tasks take several times as long. */
    static final TurnShape UNEVEN =
            new TurnShape(
                    Resources.of(16, 64 * GB, 0),
                    51,
                    43,
                    1300,
                    new Standing(4, 24, 2000, 2400, 15, 0.5, 45),
                    List.of(
                            new Queue("photo", 16.5, 1.6, 1500, 3.2, 850, 0.2),
                            new Queue("levels", 3.98, 2, 3300, 9.6, 1800, 0.9),
                            new Queue("soils", 20.7, 1.6, 1500, 3.2, 850, 0.2),
                            new Queue("valuation", 4.86, 2, 3300, 9.6, 1800, 0.9)),
                    0.03);

    /** Load A with pools whose VMs are full of standing tasks' memory, and good estimates. */
    static final TurnShape MEMORY_FULL =
            new TurnShape(
                    UNEVEN.vm(),
                    30,
                    127,
                    UNEVEN.meanCores(),
                    new Standing(4, 24, 2000, 2400, 15, 0.1, 45),
                    UNEVEN.queues().stream().map(q -> q.withEstimateError(0.2)).toList(),
                    0);

    /** Load B: large VMs, and tasks of which a few fill one. */
    static final TurnShape CONTENDED =
            new TurnShape(
                    Resources.of(64, 128 * GB, 0),
                    51,
                    42,
                    6000,
                    new Standing(4, 24, 8200, 9600, 24, 0.5, 71),
                    List.of(
                            new Queue("photo", 24, 1.6, 6200, 11, 640, 0.9),
                            new Queue("levels", 3.9, 2, 13_000, 25, 2100, 0.9),
                            new Queue("soils", 30, 1.6, 6200, 11, 640, 0.9),
                            new Queue("valuation", 4.7, 2, 13_000, 25, 2100, 0.9)),
                    0);

    /**
     * Standing jobs of a pool, with at most one task of a job on a worker.
     *
     * @param jobs number of jobs
     * @param tasks tasks of a job
     * @param leastMilliCores lower bound of the thousandths of a core of a task, drawn by job
     * @param mostMilliCores upper bound of these
     * @param memoryGb mean memory of a task, drawn by job
     * @param memorySpread standard deviation of the logarithm of the memory
     * @param mostMemoryGb upper bound of the memory
     */
    record Standing(
            int jobs,
            int tasks,
            long leastMilliCores,
            long mostMilliCores,
            double memoryGb,
            double memorySpread,
            double mostMemoryGb) {}

    /**
     * Batch jobs of a queue.
     *
     * @param perSecond mean rate
     * @param steps mean number of steps, one after the other
     * @param milliCores mean thousandths of a core of a task
     * @param memoryGb mean memory of a task
     * @param taskMs mean run time of a task
     * @param estimateError standard deviation of the logarithm of run time over estimate
     */
    record Queue(
            String service,
            double perSecond,
            double steps,
            double milliCores,
            double memoryGb,
            double taskMs,
            double estimateError) {
        Queue withEstimateError(double error) {
            return new Queue(service, perSecond, steps, milliCores, memoryGb, taskMs, error);
        }
    }
}
