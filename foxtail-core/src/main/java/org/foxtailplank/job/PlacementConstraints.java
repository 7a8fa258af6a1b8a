package org.foxtailplank.job;

/**
 * Placement constraints of the tasks of a step.
 *
 * @param gang whether all tasks must run at the same time
 * @param sameRack whether the tasks should share a rack, because spreading slows them down
 * @param requiredLabel label that a worker must have; empty if none is required
 * @param dataRack rack that holds the input data; empty if there is none
 * @param maxPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 */
public record PlacementConstraints(
        boolean gang, boolean sameRack, String requiredLabel, String dataRack, int maxPerWorker) {
    public static final PlacementConstraints ANYWHERE =
            new PlacementConstraints(false, false, "", "", 0);
}
