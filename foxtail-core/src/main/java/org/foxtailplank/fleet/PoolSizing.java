package org.foxtailplank.fleet;

/**
 * The number of VMs of a pool that should be powered on, and its components.
 *
 * @param poweredOn VMs that serve or are starting
 * @param desired VMs that should be powered on
 * @param available VMs that could be powered on: all except broken and silent ones
 * @param missing desired VMs beyond the available ones
 * @param demand estimated demand in VMs now
 * @param growth VMs by which demand can grow during a wake
 * @param reserve VMs kept for the loss of the largest rack
 * @param surge VMs powered on so that a running wave can stop more
 * @param measured whether the estimate is based on a fresh measurement
 */
public record PoolSizing(
        int poweredOn,
        int desired,
        int available,
        int missing,
        double demand,
        double growth,
        int reserve,
        int surge,
        boolean measured) {

    /** Returns a human-readable summary. */
    public String text() {
        return String.format(
                "%d on, %d wanted: demand %.1f (%s), growth during a wake %.1f, rack reserve %d,"
                        + " for waves %d",
                poweredOn,
                desired,
                demand,
                measured ? "measured" : "declared",
                growth,
                reserve,
                surge);
    }
}
