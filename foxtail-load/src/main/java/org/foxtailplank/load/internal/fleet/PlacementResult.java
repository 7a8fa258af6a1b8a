package org.foxtailplank.load.internal.fleet;

/**
 * What a run of placement came to.
 *
 * @param policy who decided
 * @param urgent urgent tasks that started
 * @param urgentP50Ms time from submission in the log to the confirmed start, median
 * @param urgentP99Ms the same, 99th percentile
 * @param urgentMaxMs the same, largest
 * @param calmP99Ms 99th percentile of those submitted while the platform was well
 * @param calmMaxMs the largest of those
 * @param urgentLate urgent tasks that took longer than 4.4 s, or never started
 * @param urgentLateInTrouble those of them submitted while the platform was slow, just before it
 *     was gone, or while the backlog of its outage lasted
 * @param starts starts asked for
 * @param blackHoleStarts starts on workers that fail everything
 * @param outOfMemory tasks that ended because their worker ran out of memory
 * @param throttles batch tasks throttled
 * @param checkpoints batch tasks asked to checkpoint
 * @param stops batch tasks stopped for urgent ones
 * @param neverRunning jobs that can never run
 * @param refusedNever those of them that were refused
 * @param refusedOthers other jobs that were refused
 * @param succeeded tasks that ended well
 * @param usedShare processors really used, share of all, mean
 * @param voided records that the fold refused
 * @param decisionP99Ms time of one decision, 99th percentile
 * @param decisionMaxMs the same, largest
 */
public record PlacementResult(
        String policy,
        long urgent,
        double urgentP50Ms,
        double urgentP99Ms,
        double urgentMaxMs,
        double calmP99Ms,
        double calmMaxMs,
        int urgentLate,
        int urgentLateInTrouble,
        long starts,
        long blackHoleStarts,
        long outOfMemory,
        long throttles,
        long checkpoints,
        long stops,
        int neverRunning,
        int refusedNever,
        int refusedOthers,
        long succeeded,
        double usedShare,
        long voided,
        double decisionP99Ms,
        double decisionMaxMs) {}
