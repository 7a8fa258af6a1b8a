package org.foxtailplank.fleet;

/**
 * How many VMs of a pool should be powered on, and what that number is made of.
 *
 * @param on VMs that serve or are on their way
 * @param wanted VMs that should
 * @param available VMs that could: all but the broken and silent ones
 * @param missing VMs wanted beyond those that could be on
 * @param demand estimated demand in VMs now
 * @param growth VMs by which demand can grow during a wake
 * @param reserve VMs kept for the loss of the largest rack
 * @param surge VMs powered on so that a running wave can stop more
 * @param measured whether the estimate rests on a fresh measurement
 */
public record PoolWant(
        int on,
        int wanted,
        int available,
        int missing,
        double demand,
        double growth,
        int reserve,
        int surge,
        boolean measured) {

    /** The number in words. */
    public String text() {
        return String.format(
                "%d on, %d wanted: demand %.1f (%s), growth during a wake %.1f, rack reserve %d,"
                        + " for waves %d",
                on, wanted, demand, measured ? "measured" : "declared", growth, reserve, surge);
    }
}
