package org.foxtailplank.load.internal.profile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Plans when which request is sent: Poisson arrivals, whatever becomes of earlier requests. */
public final class Arrivals {

    private final Profile mProfile;
    private final RandomGenerator mRandom;
    private final double mShares;
    private long mNumber;

    private Arrivals(Profile profile, RandomGenerator random) {
        mProfile = profile;
        mRandom = random;
        mShares = profile.traffic().stream().mapToDouble(Traffic::share).sum();
    }

    /** Arrivals of a profile, drawn from a seeded source. */
    public static Arrivals of(Profile profile, RandomGenerator random) {
        return new Arrivals(profile, random);
    }

    /** Plans one step at a constant mean rate. */
    public List<PlannedRequest> plan(double perSecond, Duration length) {
        List<PlannedRequest> plan = new ArrayList<>();
        double meanGap = 1e9 / perSecond;
        double at = gap(meanGap);
        while (at < length.toNanos()) {
            mNumber++;
            String id = Long.toHexString(mRandom.nextLong()) + "-" + mNumber;
            plan.add(new PlannedRequest(mNumber, (long) at, pick(), id));
            at += gap(meanGap);
        }
        return plan;
    }

    private double gap(double mean) {
        return -Math.log(1 - mRandom.nextDouble()) * mean;
    }

    private Traffic pick() {
        double rest = mRandom.nextDouble() * mShares;
        for (Traffic traffic : mProfile.traffic()) {
            rest -= traffic.share();
            if (rest < 0) {
                return traffic;
            }
        }
        return mProfile.traffic().get(mProfile.traffic().size() - 1);
    }
}
