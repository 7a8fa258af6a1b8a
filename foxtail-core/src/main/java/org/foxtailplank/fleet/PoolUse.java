package org.foxtailplank.fleet;

/**
 * Measured use of a pool.
 *
 * @param atMs time of the measurement; reports arrive later
 * @param vms use, in fully loaded VMs
 * @param declared target declared at that time
 */
public record PoolUse(long atMs, double vms, int declared) {

    public PoolUse {
        if (!(vms >= 0)) {
            throw new IllegalArgumentException("the use of a pool is negative or not a number");
        }
    }
}
