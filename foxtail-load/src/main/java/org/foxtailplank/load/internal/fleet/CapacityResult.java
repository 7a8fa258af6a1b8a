package org.foxtailplank.load.internal.fleet;

/**
 * What a day of decisions came to.
 *
 * @param policy who decided
 * @param rolloutWeight weight in the settings
 * @param bufferMean VMs on beyond the target: demand with the configured reserve, or the
 *     availability budget with the loss of one more rack, whichever is more; mean over the day
 * @param bufferPeak the same at its peak
 * @param spareMean VMs on beyond bare demand and bare availability budget, so with all reserves
 * @param shortMean VMs that demand lacked, mean over the day
 * @param serialMinutes time of the wave one VM at a time, if that never had to wait
 * @param waveMinutes time from the wave's start to its end; of the part done where it did not end
 * @param waveDone share of the wave's VMs that were maintained
 * @param rebooted VMs that the wave rebooted; those that are off start anew when they wake
 * @param moves VMs that were moved between pools
 * @param violations times a service was seen below its budget, counted each tick
 * @param refused decisions that the fold refused
 * @param pauses times the wave paused itself
 * @param waveDecisionMs time of one wave decision over all zones, 99th percentile
 * @param bufferDecisionMs time of one buffer decision, 99th percentile
 */
public record CapacityResult(
        String policy,
        double rolloutWeight,
        double bufferMean,
        double bufferPeak,
        double spareMean,
        double shortMean,
        double serialMinutes,
        double waveMinutes,
        double waveDone,
        long rebooted,
        int moves,
        int violations,
        int refused,
        int pauses,
        double waveDecisionMs,
        double bufferDecisionMs) {

    /** Time of the whole wave; where it did not end, at the pace of the part that was done. */
    public double wholeWaveMinutes() {
        return waveDone > 0 ? waveMinutes / waveDone : Double.POSITIVE_INFINITY;
    }
}
