package org.foxtailplank.admission;

import java.util.Optional;

/**
 * Decision on a submitted job.
 *
 * @param outlook when the job is expected to complete
 * @param refused whether the job is refused
 * @param basis what the decision rests on
 * @param estimate expected completion and what it was computed from; empty unless the basis is
 *     {@link Basis#ESTIMATE}
 */
public record Verdict(Outlook outlook, boolean refused, Basis basis, Optional<Estimate> estimate) {

    /** What a decision rests on. All but an estimate accept the job. */
    public enum Basis {
        /** An estimate from the pool's capacity. */
        ESTIMATE,
        /** Admission is off for the queue. */
        OFF,
        /** Standing jobs and jobs with a timetable are always accepted. */
        EXEMPT,
        /** No recent report of the pool's capacity, or one of an empty pool. */
        NO_CAPACITY
    }

    /**
     * Expected completion of a job. Times are in milliseconds from the decision.
     *
     * @param expectedMs expected completion; {@link Long#MAX_VALUE} if there is no capacity
     * @param earliestMs completion if the estimates of the job are far too high
     * @param objectiveMs objective
     * @param benefitMs end of the time in which a completion has any benefit
     * @param criticalPathMs estimated length of the critical path
     * @param work estimated work, in milliseconds times thousandths of a core
     * @param workAhead work of other jobs that comes first, in the same unit
     * @param ageMs age of the capacity
     * @param capacity capacity of the pool
     */
    public record Estimate(
            long expectedMs,
            long earliestMs,
            long objectiveMs,
            long benefitMs,
            long criticalPathMs,
            long work,
            long workAhead,
            long ageMs,
            QueueCapacity capacity) {}

    /** Acceptance without an estimate. */
    static Verdict accepted(Basis basis) {
        return new Verdict(Outlook.IN_TIME, false, basis, Optional.empty());
    }
}
