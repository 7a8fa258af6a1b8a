package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.fleet.PlacementDecision.LapsedTask;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.TaskAction;

/** What has been decided and not been handed out yet. */
final class Outbox {

    private List<PlacementAction> mActions = new ArrayList<>();
    private List<LapsedTask> mLapsed = new ArrayList<>();
    private Map<JobId, String> mRefused = new LinkedHashMap<>();
    private Map<VmId, String> mQuarantined = new LinkedHashMap<>();

    void ask(PlacedTask task, TaskAction action, boolean repeated, String why) {
        VmId worker = task.worker().worker().id();
        mActions.add(new PlacementAction(task.id(), worker, action, task.attempt(), repeated, why));
    }

    void ask(PlacementAction action) {
        mActions.add(action);
    }

    void lapsed(PlacedTask task) {
        mLapsed.add(new LapsedTask(task.id(), task.worker().worker().id(), task.attempt()));
    }

    void refused(JobId job, String why) {
        mRefused.put(job, why);
    }

    void quarantined(VmId worker, String why) {
        mQuarantined.put(worker, why);
    }

    int actions() {
        return mActions.size();
    }

    PlacementDecision take() {
        PlacementDecision decision =
                new PlacementDecision(mActions, mLapsed, mRefused, mQuarantined);
        mActions = new ArrayList<>();
        mLapsed = new ArrayList<>();
        mRefused = new LinkedHashMap<>();
        mQuarantined = new LinkedHashMap<>();
        return decision;
    }
}
