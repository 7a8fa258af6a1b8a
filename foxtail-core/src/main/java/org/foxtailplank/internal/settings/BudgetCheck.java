package org.foxtailplank.internal.settings;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;

/**
 * Finds availability budgets that no wave could ever meet.
 *
 * <p>A wave stops one VM at least, and the loss of any one more rack must still leave the service
 * within its budget. A budget that doesn't allow that much would stop every wave for ever, without
 * anything failing.
 */
final class BudgetCheck {
    private final Settings mSettings;
    private final Problems mProblems;

    private BudgetCheck(Settings settings, Problems problems) {
        mSettings = settings;
        mProblems = problems;
    }

    static void check(Settings settings, Map<String, Section> services, Problems problems) {
        BudgetCheck check = new BudgetCheck(settings, problems);
        services.forEach((name, section) -> check.service(ServiceId.of(name), section));
    }

    private void service(ServiceId id, Section section) {
        ServiceSettings service = mSettings.services().get(id);
        List<VmId> vms = vmsOf(id);
        if (vms.isEmpty()) {
            mProblems.serviceWithoutPool(section.place(), section.path());
            return;
        }
        if (service.instances() > vms.size()) {
            mProblems.tooManyInstances(
                    section.place("instances"),
                    section.path("instances"),
                    service.instances(),
                    vms.size());
        }
        if (service.minAvailable() >= vms.size()) {
            mProblems.budgetAllowsNoStop(
                    section.place("minAvailable"),
                    section.path("minAvailable"),
                    service.minAvailable(),
                    vms.size());
        } else {
            rackLoss(service, section, vms);
        }
    }

    private void rackLoss(ServiceSettings service, Section section, List<VmId> vms) {
        Optional<Map.Entry<RackId, Long>> fullest =
                vms.stream()
                        .flatMap(v -> Optional.ofNullable(mSettings.vms().get(v)).stream())
                        .collect(Collectors.groupingBy(v -> v.rack(), Collectors.counting()))
                        .entrySet()
                        .stream()
                        .max(
                                Comparator.comparing(
                                                (Function<Map.Entry<RackId, Long>, Long>)
                                                        Map.Entry::getValue)
                                        .thenComparing(Map.Entry::getKey));
        if (fullest.isEmpty()) {
            return;
        }
        int onRack = fullest.get().getValue().intValue();
        int left = Math.max(0, vms.size() - onRack - 1);
        if (service.minAvailable() > left) {
            mProblems.budgetAllowsNoRackLoss(
                    section.place("minAvailable"),
                    section.path("minAvailable"),
                    service.minAvailable(),
                    fullest.get().getKey().value(),
                    onRack,
                    left);
        }
    }

    private List<VmId> vmsOf(ServiceId id) {
        return mSettings.pools().values().stream()
                .filter(p -> p.service().filter(id::equals).isPresent())
                .flatMap(p -> p.vms().stream())
                .toList();
    }
}
