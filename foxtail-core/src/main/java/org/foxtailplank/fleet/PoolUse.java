package org.foxtailplank.fleet;

/**
 * Measured use of a pool.
 *
 * @param atMs time at which it was measured; reports arrive later than that
 * @param vms use in VMs that would be fully busy
 * @param declared target that was declared at that time
 */
public record PoolUse(long atMs, double vms, int declared) {

    public PoolUse {
        if (!(vms >= 0)) {
            throw new IllegalArgumentException("the use of a pool is negative or not a number");
        }
    }
}
