package org.foxtailplank.slo;

import java.time.Duration;
import java.util.Optional;
import org.foxtailplank.id.ServiceId;

/**
 * How one service spends its error budget.
 *
 * @param service the service
 * @param objective share of requests to be answered ok within their deadline
 * @param counts what was counted over the long window
 * @param budget requests that may be bad in the long window
 * @param spentShare share of that budget that is spent; 1 is all of it
 * @param shortRate burn rate over the short window; 1 spends exactly the budget
 * @param longRate burn rate over the long window
 * @param exhaustion time until the budget is gone at the short window's rate; empty for never
 */
public record ServiceBurn(
        ServiceId service,
        double objective,
        ServiceCounts counts,
        double budget,
        double spentShare,
        double shortRate,
        double longRate,
        Optional<Duration> exhaustion) {

    /** Works out the burn of one service from its counts over two windows. */
    public static ServiceBurn of(
            ServiceId service,
            double objective,
            ServiceCounts shortCounts,
            ServiceCounts longCounts,
            Duration longWindow) {
        double allowed = 1.0 - objective;
        double budget = longCounts.total() * allowed;
        double spent = budget > 0 ? longCounts.bad() / budget : longCounts.bad() > 0 ? 1 : 0;
        double shortRate = rate(shortCounts, allowed);
        double longRate = rate(longCounts, allowed);
        return new ServiceBurn(
                service,
                objective,
                longCounts,
                budget,
                spent,
                shortRate,
                longRate,
                exhaustion(spent, shortRate, longWindow));
    }

    private static double rate(ServiceCounts counts, double allowed) {
        if (counts.total() == 0) {
            return 0;
        }
        double badShare = (double) counts.bad() / counts.total();
        if (allowed <= 0) {
            return badShare > 0 ? Double.POSITIVE_INFINITY : 0;
        }
        return badShare / allowed;
    }

    private static Optional<Duration> exhaustion(double spent, double rate, Duration window) {
        if (spent >= 1) {
            return Optional.of(Duration.ZERO);
        }
        if (rate <= 0) {
            return Optional.empty();
        }
        double seconds = (1 - spent) * window.toSeconds() / rate;
        return Optional.of(Duration.ofSeconds((long) seconds));
    }
}
