package org.foxtailplank.controller.internal.place;

import java.util.Optional;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.state.FleetView;

/**
 * Says why a job or a worker is where it is, from the state alone.
 *
 * <p>Any node can answer so; only what a placer learns from workers' reports, such as a quarantine,
 * is missing at those that don't place.
 */
public final class JobExplainer {
    private final PlacementPlanner mPlanner;
    private final long mNowMs;

    /** An explainer of the state as it is now. */
    public JobExplainer(FleetView view, Settings settings, long nowMs) {
        mPlanner = new PlacementPlanner(() -> settings, PlacementSettings.standard());
        mPlanner.synchronize(view, nowMs);
        mNowMs = nowMs;
    }

    /** Why a job is where it is. */
    public Optional<Explanation> job(JobId job) {
        return mPlanner.explain(job, mNowMs);
    }

    /** Why a worker gets tasks or gets none. */
    public Optional<Explanation> worker(VmId worker) {
        return mPlanner.explain(worker, mNowMs);
    }
}
