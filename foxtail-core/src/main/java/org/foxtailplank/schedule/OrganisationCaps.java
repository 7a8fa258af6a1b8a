package org.foxtailplank.schedule;

import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;
import org.foxtailplank.organisation.ResourceCap;

/**
 * Caps on what the tasks of each organisation may hold at a time.
 *
 * <p>A task that would exceed its organisation's cap isn't started and waits without holding up
 * those of others. If a cap is reduced below what runs, nothing is stopped. An organisation that
 * uses less than half of its cap may exceed it by one task, since a task that is larger than the
 * other half could wait for standing tasks forever.
 */
final class OrganisationCaps {
    /** No organisation has a cap. */
    static final OrganisationCaps NONE =
            new OrganisationCaps(Organisations.NONE, new OrganisationUsage());

    private final Organisations mOrganisations;
    private final OrganisationUsage mUsage;

    OrganisationCaps(Organisations organisations, OrganisationUsage usage) {
        mOrganisations = organisations;
        mUsage = usage;
    }

    /** Whether a number of a step's tasks may start in addition to what runs. */
    boolean admits(ActiveStep step, int tasks) {
        String organisation = step.job().definition().organisation();
        if (organisation.equals(Organisation.NONE)) {
            return true;
        }
        Resources used = mUsage.used(organisation);
        ResourceCap cap = cap(organisation);
        return cap.admits(used.plus(step.spec().demand().times(tasks)))
                || tasks == 1 && cap.admits(used.times(2));
    }

    private ResourceCap cap(String organisation) {
        return mOrganisations
                .byName(organisation)
                .map(Organisation::cap)
                .orElse(ResourceCap.UNLIMITED);
    }

    /**
     * Thousandths of a core that an organisation may use on a service beside what it uses on the
     * others; empty without a limit.
     */
    Optional<Long> milliCoresFor(String organisation, String service) {
        long others = mUsage.usedExcept(organisation, service).milliProcessors();
        return milliCores(organisation).map(limit -> Math.max(0, limit - others));
    }

    /**
     * Sums up the demand of organisations on a service, each of which its cap limits.
     *
     * @param demands thousandths of a core by name
     */
    double limit(Map<String, Double> demands, String service) {
        double sum = 0;
        for (Map.Entry<String, Double> e : demands.entrySet()) {
            Optional<Long> limit = milliCoresFor(e.getKey(), service);
            sum += limit.isPresent() ? Math.min(e.getValue(), limit.get()) : e.getValue();
        }
        return sum;
    }

    /** Thousandths of a core that an organisation may use in all; empty without a limit. */
    Optional<Long> milliCores(String organisation) {
        long limit = cap(organisation).limits().milliProcessors();
        return limit == 0 ? Optional.empty() : Optional.of(limit);
    }
}
