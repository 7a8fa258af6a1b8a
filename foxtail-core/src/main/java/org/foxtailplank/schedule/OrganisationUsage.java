package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.fleet.Resources;

/**
 * Resources that the runs of each organisation hold, by service.
 *
 * <p>A run counts from the decision to start it until it has certainly ended, so that starts
 * without an answer, stops in progress and runs of earlier owners are included.
 */
final class OrganisationUsage {
    private final Map<String, Map<String, Resources>> mUsed = new HashMap<>();

    void add(TaskRun run) {
        Resources demand = run.task().spec().demand();
        byService(run).merge(service(run), demand, Resources::plus);
    }

    void remove(TaskRun run) {
        Resources demand = run.task().spec().demand();
        byService(run).computeIfPresent(service(run), (s, used) -> used.minus(demand));
    }

    private Map<String, Resources> byService(TaskRun run) {
        String organisation = run.task().step().job().definition().organisation();
        return mUsed.computeIfAbsent(organisation, o -> new HashMap<>());
    }

    private static String service(TaskRun run) {
        return run.task().step().job().definition().service();
    }

    /** Resources that an organisation holds on all services. */
    Resources used(String organisation) {
        return usedExcept(organisation, "");
    }

    /** Resources that an organisation holds on all services but one. */
    Resources usedExcept(String organisation, String service) {
        Resources sum = Resources.NONE;
        for (Map.Entry<String, Resources> e :
                mUsed.getOrDefault(organisation, Map.of()).entrySet()) {
            if (!e.getKey().equals(service)) {
                sum = sum.plus(e.getValue());
            }
        }
        return sum;
    }
}
