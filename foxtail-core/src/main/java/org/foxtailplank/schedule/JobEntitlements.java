package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;

/**
 * Tells which jobs exceed the rate that their organisations are entitled to.
 *
 * <p>Answers an organisation that submits several times its usual number of jobs: these would take
 * the capacity of all others. Each organisation has a token bucket that fills at the rate of its
 * weight, in the order of the journal, so that each owner comes to about the same result.
 */
final class JobEntitlements {
    /** Period whose entitlement an organisation may use up at once, in seconds. */
    private static final double BURST_S = 5;

    private static final double MS_PER_S = 1000;

    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private Organisations mOrganisations = Organisations.NONE;

    private static final class Bucket {
        double mTokens;
        long mFilledMs;

        Bucket(double tokens, long filledMs) {
            mTokens = tokens;
            mFilledMs = filledMs;
        }
    }

    /** Sets the organisations whose weights count from now on. */
    void setOrganisations(Organisations organisations) {
        mOrganisations = organisations;
    }

    /** Whether an accepted job is within its organisation's rate; called once for each job. */
    boolean take(JobDefinition definition) {
        Optional<Organisation> organisation = mOrganisations.byName(definition.organisation());
        if (organisation.isEmpty()) {
            return true;
        }
        double rate = rate(organisation.get());
        double capacity = Math.max(1, rate * BURST_S * MS_PER_S);
        long nowMs = definition.acceptedMs();
        Bucket bucket =
                mBuckets.computeIfAbsent(
                        organisation.get().name(), o -> new Bucket(capacity, nowMs));
        double refill = rate * Math.max(0, nowMs - bucket.mFilledMs);
        bucket.mTokens = Math.min(capacity, bucket.mTokens + refill);
        bucket.mFilledMs = Math.max(bucket.mFilledMs, nowMs);
        if (bucket.mTokens < 1) {
            return false;
        }
        bucket.mTokens--;
        return true;
    }

    /** Whether the next job of an organisation would exceed its rate. */
    boolean isExhausted(String name, long nowMs) {
        Optional<Organisation> organisation = mOrganisations.byName(name);
        Bucket bucket = mBuckets.get(name);
        if (organisation.isEmpty() || bucket == null) {
            return false;
        }
        double refill = rate(organisation.get()) * Math.max(0, nowMs - bucket.mFilledMs);
        return bucket.mTokens + refill < 1;
    }

    /** Jobs a millisecond. */
    private static double rate(Organisation organisation) {
        return organisation.weight() / MS_PER_S;
    }
}
