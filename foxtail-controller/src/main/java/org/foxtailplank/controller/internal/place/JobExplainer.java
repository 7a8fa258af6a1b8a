package org.foxtailplank.controller.internal.place;

import java.util.Optional;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.state.FleetView;

/**
 * Explains the placement of jobs and workers from the state alone.
 *
 * <p>Any node can explain. What only worker reports show, such as a quarantine, is known just to
 * the node that places tasks.
 */
public final class JobExplainer {
    private final PlacementPlanner mPlanner;
    private final long mNowMs;

    /** Creates an explainer of the given state. */
    public JobExplainer(FleetView view, Settings settings, long nowMs) {
        mPlanner = new PlacementPlanner(() -> settings, PlacementSettings.standard());
        mPlanner.synchronize(view, nowMs);
        mNowMs = nowMs;
    }

    /** Explains the placement of a job. */
    public Optional<Explanation> job(JobId job) {
        return mPlanner.explain(job, mNowMs);
    }

    /** Explains why a worker does or does not receive tasks. */
    public Optional<Explanation> worker(VmId worker) {
        return mPlanner.explain(worker, mNowMs);
    }
}
