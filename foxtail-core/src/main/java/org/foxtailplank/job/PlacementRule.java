package org.foxtailplank.job;

/**
 * Where the tasks of a step may run.
 *
 * @param gang whether the tasks work only all together
 * @param sameRack whether the tasks are slow when they are spread over racks
 * @param requiredLabel label that a worker must have; empty for none
 * @param dataRack rack on which the data lie; empty for none
 * @param maxPerWorker most tasks of the step on one worker; 0 for any number
 */
public record PlacementRule(
        boolean gang, boolean sameRack, String requiredLabel, String dataRack, int maxPerWorker) {
    public static final PlacementRule ANYWHERE = new PlacementRule(false, false, "", "", 0);
}
