package org.foxtailplank.admission;

import java.util.Optional;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;
import org.foxtailplank.job.JobDefinition;

/**
 * Decides whether a submitted job is accepted.
 *
 * <p>Addresses queues that request several times what their pools can hold: a caller whose job
 * can't be served learns so at once, and the job takes no capacity from others.
 *
 * <p>The expected completion follows from the work ahead over the pool's capacity. A job that can't
 * meet its objective together with those that can is served after the late ones. Estimates of
 * single jobs are often far off in either direction, so a job is surely late only if it would be so
 * with a fraction of its estimated run times, and with a multiple, whose benefit lasts longer.
 * Errors of the work under an organisation's cap average out over many jobs.
 */
public final class AdmissionDecider {
    /** Age from which a report of the capacity is ignored, in milliseconds; four reports. */
    public static final long MAX_AGE_MS = 1000;

    /**
     * Factor by which estimates may be too high or too low: the 94th percentile of an error whose
     * logarithm has a standard deviation of 0.9.
     */
    static final int ERROR_FACTOR = 4;

    /**
     * Largest objective that counts, in milliseconds: a day. Products of larger ones with the
     * capacity of a pool may overflow.
     */
    static final long MAX_OBJECTIVE_MS = 24 * 3600 * 1000;

    /** Largest run time and work that count, so that sums of them don't overflow. */
    private static final long MAX_DEMAND = 1L << 56;

    /** Jobs that complete within this many times their objective are of some benefit. */
    private static final int BENEFIT_FACTOR = 3;

    private AdmissionDecider() {}

    /** Decides on a job that is submitted for the first time. */
    public static Verdict decide(
            JobDefinition job,
            QueueCapacity capacity,
            AdmissionMode mode,
            AdmittedShare share,
            long nowMs) {
        return decide(job, capacity, mode, share, Returning.FIRST_TIME, nowMs);
    }

    /**
     * Decides on a job.
     *
     * @param capacity capacity of the job's pool; null if unknown
     * @param share work that this node may still accept
     * @param returning earlier refusals, whose time the objective includes
     * @param nowMs time on the clock of the capacity's measurement
     */
    public static Verdict decide(
            JobDefinition job,
            QueueCapacity capacity,
            AdmissionMode mode,
            AdmittedShare share,
            Returning returning,
            long nowMs) {
        if (mode == AdmissionMode.OFF) {
            return Verdict.accepted(Verdict.Basis.OFF);
        }
        // A job without an objective can't be late.
        if (job.isStanding() || job.timetable().isTimed() || job.objectiveLengthMs() <= 0) {
            return Verdict.accepted(Verdict.Basis.EXEMPT);
        }
        // The pool of a queue without accepted jobs may be empty until the first one.
        boolean known = capacity != null && nowMs - capacity.measuredMs() <= MAX_AGE_MS;
        if (!known || capacity.milliCores() <= 0 && capacity.joining().isEmpty()) {
            return Verdict.accepted(Verdict.Basis.NO_CAPACITY);
        }
        return estimate(job, capacity, mode, share, returning, nowMs);
    }

    private static Verdict estimate(
            JobDefinition job,
            QueueCapacity capacity,
            AdmissionMode mode,
            AdmittedShare share,
            Returning returning,
            long nowMs) {
        long ageMs = Math.max(0, nowMs - capacity.measuredMs());
        long lengthMs = Math.min(MAX_OBJECTIVE_MS, job.objectiveLengthMs());
        long objectiveMs = lengthMs - returning.elapsedMs();
        long benefitMs = BENEFIT_FACTOR * lengthMs - returning.elapsedMs();
        Demand demand = Demand.of(job);
        Optional<OrganisationCapacity> organisation =
                Optional.ofNullable(capacity.organisations().get(job.organisation()));

        long ahead = capacity.inTimeWork();
        long expectedMs = completionMs(demand, ahead, capacity, organisation, ageMs);
        boolean inTime = expectedMs <= objectiveMs && share.work() > 0;
        if (!inTime) {
            ahead += capacity.lateWork();
            expectedMs = completionMs(demand, ahead, capacity, organisation, ageMs);
        }
        long earliestMs = earliestMs(demand.dividedBy(ERROR_FACTOR), capacity, organisation, ageMs);
        // The benefit of a job that takes longer than estimated ends later.
        Demand longest = demand.times(ERROR_FACTOR);
        long longestBenefitMs =
                BENEFIT_FACTOR * job.objectiveLengthMs(longest.criticalPathMs())
                        - returning.elapsedMs();
        boolean surelyLate =
                earliestMs > benefitMs
                        && earliestMs(longest, capacity, organisation, ageMs) > longestBenefitMs;
        Outlook outlook =
                inTime ? Outlook.IN_TIME : surelyLate ? Outlook.SURELY_LATE : Outlook.LATE;
        // Without work ahead a later return would not help, and a pool gets VMs for accepted jobs
        // only.
        boolean waits = ahead > 0 || organisation.isPresent();
        Verdict.Estimate estimate =
                new Verdict.Estimate(
                        expectedMs,
                        earliestMs,
                        objectiveMs,
                        benefitMs,
                        demand.criticalPathMs(),
                        demand.work(),
                        ahead,
                        ageMs,
                        capacity);
        // The place of a job whose time has come was planned for a late completion.
        boolean planned = returning.due() && share.work() > 0 && expectedMs <= benefitMs;
        return new Verdict(
                outlook,
                waits && !planned && mode.refuses(outlook),
                Verdict.Basis.ESTIMATE,
                Optional.of(estimate));
    }

    /** Run time and work of a job, and the capacity that one of its first tasks needs. */
    private record Demand(long criticalPathMs, long work, long firstTaskMilliCores) {
        static Demand of(JobDefinition job) {
            long milliCores = job.steps().get(0).reserved().milliProcessors();
            return new Demand(
                    Math.min(MAX_DEMAND, job.criticalPathMs()),
                    (long) Math.min(MAX_DEMAND, job.estimatedWork()),
                    milliCores);
        }

        Demand times(int factor) {
            return new Demand(criticalPathMs * factor, work * factor, firstTaskMilliCores);
        }

        Demand dividedBy(int factor) {
            return new Demand(criticalPathMs / factor, work / factor, firstTaskMilliCores);
        }
    }

    /**
     * Expected completion. Work that has been done since the measurement is taken to be replaced by
     * work that other nodes have accepted.
     */
    private static long completionMs(
            Demand demand,
            long ahead,
            QueueCapacity capacity,
            Optional<OrganisationCapacity> organisation,
            long ageMs) {
        long poolMs = poolMs(demand, ahead, capacity, ageMs);
        return organisation.isEmpty()
                ? poolMs
                : Math.max(poolMs, underCapMs(demand, organisation.get()));
    }

    /**
     * Earliest completion, if no other job was accepted since the measurement.
     *
     * <p>No work of other organisations certainly comes first, as the scheduler orders jobs by
     * slack and lets new ones overtake late ones: of the jobs that were refused by all work ahead
     * in a simulation of turns with twice their usual load, 242 of 353 would have had a benefit.
     */
    private static long earliestMs(
            Demand demand,
            QueueCapacity capacity,
            Optional<OrganisationCapacity> organisation,
            long ageMs) {
        long earliestMs = poolMs(demand, 0, capacity, 0) - ageMs;
        // A cap that leaves nothing now doesn't say when it will.
        if (organisation.isPresent() && organisation.get().milliCores() > 0) {
            earliestMs = Math.max(earliestMs, underCapMs(demand, organisation.get()) - ageMs);
        }
        return Math.max(demand.criticalPathMs(), earliestMs);
    }

    /** Time in which the pool completes the work ahead and then the job. */
    private static long poolMs(Demand demand, long ahead, QueueCapacity capacity, long ageMs) {
        boolean startsNow = capacity.freeMilliCores() >= demand.firstTaskMilliCores();
        long waitMs = startsNow ? 0 : capacity.timeForMs(ahead, ageMs);
        return completionMs(waitMs, capacity.timeForMs(ahead + demand.work(), ageMs), demand);
    }

    private static long underCapMs(Demand demand, OrganisationCapacity organisation) {
        if (organisation.milliCores() <= 0) {
            return Long.MAX_VALUE;
        }
        long waitMs = organisation.waitingWork() / organisation.milliCores();
        long allMs = (organisation.waitingWork() + demand.work()) / organisation.milliCores();
        return completionMs(waitMs, allMs, demand);
    }

    private static long completionMs(long waitMs, long workMs, Demand demand) {
        return waitMs == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.max(workMs, waitMs + demand.criticalPathMs());
    }
}
