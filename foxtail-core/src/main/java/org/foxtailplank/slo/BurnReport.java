package org.foxtailplank.slo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.foxtailplank.id.ServiceId;

/**
 * The report on service-level burn of all services.
 *
 * @param at time of the report
 * @param shortWindow short window of the burn rate
 * @param longWindow long window of the burn rate, and of the budget
 * @param services burn of each service, by name
 */
public record BurnReport(
        Instant at, Duration shortWindow, Duration longWindow, List<ServiceBurn> services) {

    /** Divides the long window to give the short one, as is usual for burn alerts. */
    public static final int SHORT_WINDOW_PART = 12;

    public BurnReport {
        services = List.copyOf(services);
    }

    /** Draws up the report for the services whose objectives are given. */
    public static BurnReport of(
            BurnBook book, Map<ServiceId, Double> objectives, Duration window, Instant now) {
        Duration shortWindow = window.dividedBy(SHORT_WINDOW_PART);
        Map<ServiceId, ServiceCounts> shorts = book.within(shortWindow, now);
        Map<ServiceId, ServiceCounts> longs = book.within(window, now);
        List<ServiceBurn> burns = new ArrayList<>();
        objectives.forEach(
                (service, objective) ->
                        burns.add(
                                ServiceBurn.of(
                                        service,
                                        objective,
                                        shorts.getOrDefault(service, ServiceCounts.NONE),
                                        longs.getOrDefault(service, ServiceCounts.NONE),
                                        window)));
        burns.sort(Comparator.comparing(ServiceBurn::service));
        return new BurnReport(now, shortWindow, window, burns);
    }
}
