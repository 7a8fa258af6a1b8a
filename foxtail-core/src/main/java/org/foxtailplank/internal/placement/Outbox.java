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

/** Collects decisions until they are handed to the caller. */
final class Outbox {

    private List<PlacementAction> mActions = new ArrayList<>();
    private List<LapsedTask> mLapsed = new ArrayList<>();
    private Map<JobId, String> mRefused = new LinkedHashMap<>();
    private Map<VmId, String> mQuarantined = new LinkedHashMap<>();

    void add(PlacedTask task, TaskAction action, boolean repeated, String why) {
        VmId worker = task.worker().worker().id();
        mActions.add(new PlacementAction(task.id(), worker, action, task.attempt(), repeated, why));
    }

    void add(PlacementAction action) {
        mActions.add(action);
    }

    void addLapsed(PlacedTask task) {
        mLapsed.add(new LapsedTask(task.id(), task.worker().worker().id(), task.attempt()));
    }

    void addRefused(JobId job, String why) {
        mRefused.put(job, why);
    }

    void addQuarantined(VmId worker, String why) {
        mQuarantined.put(worker, why);
    }

    int actionCount() {
        return mActions.size();
    }

    PlacementDecision takeAll() {
        PlacementDecision decision =
                new PlacementDecision(mActions, mLapsed, mRefused, mQuarantined);
        mActions = new ArrayList<>();
        mLapsed = new ArrayList<>();
        mRefused = new LinkedHashMap<>();
        mQuarantined = new LinkedHashMap<>();
        return decision;
    }
}
