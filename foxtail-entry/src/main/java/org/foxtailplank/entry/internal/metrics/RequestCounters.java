package org.foxtailplank.entry.internal.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.platform.burn.BurnCounters;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.slo.ServiceCounts;
import org.foxtailplank.slo.Spend;

/** Counts the outcomes and measures the durations of requests by service. */
public final class RequestCounters implements BurnCounters {

    private static final int SERVER_ERROR = 500;

    private final MetricRegistry mMetrics;
    private final Predicate<ServiceId> mInWave;
    private final Map<ServiceId, ServiceMetrics> mServices = new ConcurrentHashMap<>();

    /** Creates counters in a registry. */
    public RequestCounters(MetricRegistry metrics, Predicate<ServiceId> inWave) {
        mMetrics = metrics;
        mInWave = inWave;
    }

    /** Counts an answered request. */
    public void ended(CallerRequest request, Answer answer, long now) {
        ServiceMetrics metrics = mServices.computeIfAbsent(request.service(), this::register);
        metrics.mOutcomes.get(answer.outcome()).inc();
        metrics.mTime.update(now - request.arrived(), TimeUnit.NANOSECONDS);
        spend(request, answer, now).ifPresent(spend -> metrics.mSpends.get(spend).inc());
    }

    @Override
    public Map<ServiceId, ServiceCounts> read() {
        return mServices.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().counts()));
    }

    /** Classifies a request for the error budget; empty if the request itself was invalid. */
    private Optional<Spend> spend(CallerRequest request, Answer answer, long now) {
        boolean failed = answer.outcome() == Outcome.OK && answer.status() >= SERVER_ERROR;
        if (answer.outcome() == Outcome.OK && !failed) {
            return Optional.of(now - request.deadline() > 0 ? Spend.LATE : Spend.NONE);
        }
        if (answer.outcome() == Outcome.NOT_RUN && answer.retryAfter().isEmpty()) {
            return Optional.empty();
        }
        if (mInWave.test(request.service())) {
            return Optional.of(Spend.WAVE);
        }
        return Optional.of(answer.outcome() == Outcome.NOT_RUN ? Spend.REFUSED : Spend.FAILED);
    }

    private ServiceMetrics register(ServiceId service) {
        return new ServiceMetrics(mMetrics, "service." + service + ".");
    }

    /** Metrics of one service. */
    private static final class ServiceMetrics {
        private final Map<Outcome, Counter> mOutcomes = new EnumMap<>(Outcome.class);
        private final Map<Spend, Counter> mSpends = new EnumMap<>(Spend.class);
        private final Timer mTime;

        ServiceMetrics(MetricRegistry metrics, String prefix) {
            for (Outcome o : Outcome.values()) {
                mOutcomes.put(o, metrics.counter(prefix + "outcome." + o.text()));
            }
            for (Spend spend : Spend.values()) {
                String name = spend.name().toLowerCase(Locale.ROOT);
                mSpends.put(spend, metrics.counter(prefix + "spend." + name));
            }
            mTime = metrics.timer(prefix + "time");
        }

        ServiceCounts counts() {
            Map<Spend, Long> counts = new EnumMap<>(Spend.class);
            mSpends.forEach((spend, counter) -> counts.put(spend, counter.getCount()));
            return new ServiceCounts(counts);
        }
    }
}
