package org.foxtailplank.node.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.foxtailplank.admission.AdmissionDecider;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.RefusalRegister;
import org.foxtailplank.admission.ReturnSchedule;
import org.foxtailplank.admission.ShareDivision;
import org.foxtailplank.admission.Verdict;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.admission.ReportedPool;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.JobQueries;

/**
 * Decides whether a submission that isn't known yet is stored or refused.
 *
 * <p>A job is refused only if the owner confirms that no node has handed it over; one that may be
 * stored elsewhere is stored again, which is harmless.
 */
public final class AdmissionGate {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long MS_PER_S = 1000;

    /** Time before a caller's return at which its job can be stored again, in milliseconds. */
    private static final long RETURN_MARGIN_MS = 100;

    private final KnownCapacity mKnown;
    private final Supplier<AdmissionSettings> mSettings;
    private final JobQueries mOwner;
    private final Clock mClock;
    private final NodeLog mLog;
    private final AdmissionMetrics mMetrics;
    private final ReturnSchedule mReturns = new ReturnSchedule();
    private final Map<String, Long> mUnknownLoggedMs = new HashMap<>();
    private final RecentSubmissions mRecent = new RecentSubmissions();

    /**
     * Creates the gate of a node.
     *
     * @param settings returns the settings in force
     * @param owner confirms refusals
     */
    public AdmissionGate(
            KnownCapacity known,
            Supplier<AdmissionSettings> settings,
            JobQueries owner,
            Clock clock,
            NodeLog log,
            NodeMetrics metrics) {
        mKnown = known;
        mSettings = settings;
        mOwner = owner;
        mClock = clock;
        mLog = log;
        mMetrics = new AdmissionMetrics(metrics);
    }

    /**
     * Decides on a job; {@code callback} receives the reply to a refused one, else empty.
     *
     * @param isKnown whether this node has read the job's record, which may change while the owner
     *     is asked
     */
    void check(JobDefinition job, BooleanSupplier isKnown, Consumer<Optional<HttpReply>> callback) {
        AdmissionSettings settings = mSettings.get();
        if (!settings.isOn()) {
            callback.accept(Optional.empty());
            return;
        }
        long now = mClock.nowMs();
        Optional<ReportedPool> pool = mKnown.pool(job.service(), now);
        Verdict verdict = decide(job, settings.mode(job.route()), pool, now);
        if (!verdict.refused()) {
            mMetrics.recordAccepted(job, verdict);
            accept(job, callback);
            return;
        }
        double part = part(pool);
        Optional<Integer> returnS = mReturns.returnAfterS(job, verdict, part, now);
        mOwner.mayRefuse(
                job.id(),
                refusalMs(returnS),
                confirmed -> {
                    boolean recent = mRecent.mayContain(job.id(), mClock.nowMs());
                    if (confirmed && !recent && !isKnown.getAsBoolean()) {
                        callback.accept(Optional.of(refuse(job, verdict, part, returnS)));
                    } else {
                        mMetrics.recordMayBeStored(job);
                        accept(job, callback);
                    }
                });
    }

    private Verdict decide(
            JobDefinition job, AdmissionMode mode, Optional<ReportedPool> pool, long nowMs) {
        AdmittedShare share = pool.map(ReportedPool::share).orElse(AdmittedShare.UNLIMITED);
        Verdict verdict =
                AdmissionDecider.decide(
                        job,
                        pool.map(ReportedPool::capacity).orElse(null),
                        mode,
                        mReturns.shareFor(job, share, nowMs),
                        mReturns.returning(job.id(), nowMs),
                        nowMs);
        if (verdict.basis() == Verdict.Basis.NO_CAPACITY && isUnknownLogged(job.route(), nowMs)) {
            mLog.line("admission-unknown")
                    .with("job", job.id())
                    .with("queue", job.route())
                    .with("reported", pool.isPresent())
                    .write();
        }
        return verdict;
    }

    /** Whether unknown capacity of a queue is logged now: at most once a second. */
    private boolean isUnknownLogged(String queue, long nowMs) {
        Long lastMs = mUnknownLoggedMs.get(queue);
        if (lastMs != null && nowMs - lastMs < MS_PER_S) {
            return false;
        }
        mUnknownLoggedMs.put(queue, nowMs);
        return true;
    }

    private void accept(JobDefinition job, Consumer<Optional<HttpReply>> callback) {
        mKnown.accepted(job, mClock.nowMs());
        callback.accept(Optional.empty());
    }

    /**
     * Limits the deadline for storing a job to the time that the owner allows for it.
     *
     * @param deadlineMs deadline of the caller
     */
    long storeDeadlineMs(long deadlineMs) {
        return mSettings.get().isOn()
                ? Math.min(deadlineMs, mClock.nowMs() + RefusalRegister.STORE_PROTECTION_MS)
                : deadlineMs;
    }

    /**
     * Records the outcome of storing a job that was accepted. A refused caller whose job isn't
     * stored keeps its place for its next attempt.
     */
    void completed(JobDefinition job, StoreOutcome outcome) {
        switch (outcome) {
            case STORED, UNKNOWN -> {
                long now = mClock.nowMs();
                mReturns.accepted(job.id(), now);
                if (mSettings.get().isOn()) {
                    mRecent.add(job.id(), now);
                }
            }
            case NOT_STORED, REFUSED -> mKnown.unstored(job.id());
            default -> throw new IllegalStateException("unexpected outcome: " + outcome);
        }
    }

    /** Part of the pool's work that this node accepts, above 0. */
    private static double part(Optional<ReportedPool> pool) {
        int part = pool.map(ReportedPool::part).orElse(0);
        return Math.max(1, part) / (double) ShareDivision.WHOLE;
    }

    /** Time for which the owner doesn't store a refused job, in milliseconds. */
    private static int refusalMs(Optional<Integer> returnS) {
        long ms = returnS.map(s -> s * MS_PER_S - RETURN_MARGIN_MS).orElse(Long.MAX_VALUE);
        return (int) Math.min(RefusalRegister.MAX_REFUSAL_MS, ms);
    }

    /**
     * Refuses a job.
     *
     * @param earliestS earliest return that was agreed with the owner, in seconds
     */
    private HttpReply refuse(
            JobDefinition job, Verdict verdict, double part, Optional<Integer> earliestS) {
        Verdict.Estimate estimate = verdict.estimate().orElseThrow();
        Optional<Integer> plannedS = mReturns.refused(job, verdict, part, mClock.nowMs());
        Optional<Integer> retryAfterS =
                earliestS.flatMap(earliest -> plannedS.map(p -> Math.max(earliest, p)));
        mMetrics.recordRefused(job);
        mLog.line("job-refused")
                .with("job", job.id())
                .with("queue", job.route())
                .with("organisation", job.organisation())
                .with("verdict", verdict.outlook())
                .with("expectedMs", estimate.expectedMs())
                .with("earliestMs", estimate.earliestMs())
                .with("objectiveMs", estimate.objectiveMs())
                .with("milliCores", estimate.capacity().milliCores())
                .with("workAhead", estimate.workAhead())
                .with("capacityAgeMs", estimate.ageMs())
                .with("retryAfterS", retryAfterS.orElse(-1))
                .write();
        if (retryAfterS.isEmpty()) {
            return HttpReply.text(
                    TOO_MANY_REQUESTS,
                    "The job was refused since it can't be completed in time; don't submit it"
                            + " again.");
        }
        String seconds = String.valueOf(retryAfterS.get());
        return HttpReply.text(
                        TOO_MANY_REQUESTS,
                        "The job was refused since it can't be completed in time now; submit it"
                                + " again after "
                                + seconds
                                + " s.")
                .with(Map.of("Retry-After", seconds));
    }
}
