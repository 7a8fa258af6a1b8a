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

/** Counts how the requests of each service end, and how long they take. */
public final class RequestCounters implements BurnCounters {

    private static final int SERVER_ERROR = 500;

    private final MetricRegistry mMetrics;
    private final Predicate<ServiceId> mInWave;
    private final Map<ServiceId, OfService> mServices = new ConcurrentHashMap<>();

    /** Counts into a registry. */
    public RequestCounters(MetricRegistry metrics, Predicate<ServiceId> inWave) {
        mMetrics = metrics;
        mInWave = inWave;
    }

    /** A request has its answer. */
    public void ended(CallerRequest request, Answer answer, long now) {
        OfService s = mServices.computeIfAbsent(request.service(), this::register);
        s.mOutcomes.get(answer.outcome()).inc();
        s.mTime.update(now - request.arrived(), TimeUnit.NANOSECONDS);
        spend(request, answer, now).ifPresent(spend -> s.mSpends.get(spend).inc());
    }

    @Override
    public Map<ServiceId, ServiceCounts> read() {
        return mServices.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().counts()));
    }

    /** Empty for a request that was wrong in itself and so says nothing about the service. */
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

    private OfService register(ServiceId service) {
        return new OfService(mMetrics, "service." + service + ".");
    }

    /** The counters of one service. */
    private static final class OfService {
        private final Map<Outcome, Counter> mOutcomes = new EnumMap<>(Outcome.class);
        private final Map<Spend, Counter> mSpends = new EnumMap<>(Spend.class);
        private final Timer mTime;

        OfService(MetricRegistry metrics, String prefix) {
            for (Outcome o : Outcome.values()) {
                mOutcomes.put(o, metrics.counter(prefix + "outcome." + o.text()));
            }
            for (Spend s : Spend.values()) {
                String name = s.name().toLowerCase(Locale.ROOT);
                mSpends.put(s, metrics.counter(prefix + "spend." + name));
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
