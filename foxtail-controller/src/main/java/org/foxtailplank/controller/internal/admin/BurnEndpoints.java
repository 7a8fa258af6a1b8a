package org.foxtailplank.controller.internal.admin;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.platform.burn.BurnLog;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.slo.BurnReport;
import org.foxtailplank.slo.ServiceBurn;
import org.foxtailplank.slo.Spend;

/** The endpoint that reports error-budget burn. */
final class BurnEndpoints {
    private static final long DEFAULT_WINDOW_SECONDS = 3600;

    private final BurnLog mBurn;
    private final Map<ServiceId, Double> mObjectives = new TreeMap<>();
    private final InstantSource mClock;

    BurnEndpoints(BurnLog burn, Settings settings, InstantSource clock) {
        mBurn = burn;
        mClock = clock;
        settings.services().forEach((id, service) -> mObjectives.put(id, service.objective()));
    }

    List<Endpoint> endpoints() {
        return List.of(Endpoint.of("GET", "/v1/burn", Role.READER, this::readBurn));
    }

    private CompletionStage<ApiResponse> readBurn(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        Duration window = window(Optional.ofNullable(request.query().get("windowSeconds")));
        Optional<String> service = Optional.ofNullable(request.query().get("service"));
        return mBurn.refresh()
                .thenApply(
                        done -> {
                            BurnReport report = mBurn.report(mObjectives, window, mClock.instant());
                            return ApiResponse.ok(BurnView.of(report, service));
                        });
    }

    private static Duration window(Optional<String> seconds)
            throws ApiRequest.InvalidBodyException {
        try {
            long s = seconds.map(Long::valueOf).orElse(DEFAULT_WINDOW_SECONDS);
            if (s <= 0) {
                throw new NumberFormatException();
            }
            return Duration.ofSeconds(s);
        } catch (NumberFormatException e) {
            throw new ApiRequest.InvalidBodyException(
                    "windowSeconds is not a whole number above 0.");
        }
    }

    /**
     * A burn report as JSON.
     *
     * @param at time of the report
     * @param shortWindowSeconds short window of the burn rates
     * @param windowSeconds long window, also that of the budget
     * @param services burn of each service
     */
    record BurnView(
            String at, long shortWindowSeconds, long windowSeconds, List<ServiceView> services) {
        static BurnView of(BurnReport report, Optional<String> service) {
            return new BurnView(
                    report.at().toString(),
                    report.shortWindow().toSeconds(),
                    report.longWindow().toSeconds(),
                    report.services().stream()
                            .filter(b -> service.map(b.service().value()::equals).orElse(true))
                            .map(ServiceView::of)
                            .toList());
        }
    }

    /** The burn of one service as JSON. */
    record ServiceView(
            String service,
            double objective,
            long requests,
            Map<Spend, Long> spent,
            double budget,
            double spentShare,
            double shortRate,
            double longRate,
            Optional<Long> exhaustionSeconds) {
        static ServiceView of(ServiceBurn burn) {
            return new ServiceView(
                    burn.service().value(),
                    burn.objective(),
                    burn.counts().total(),
                    new TreeMap<>(burn.counts().bySpend()),
                    burn.budget(),
                    burn.spentShare(),
                    burn.shortRate(),
                    burn.longRate(),
                    burn.exhaustion().map(Duration::toSeconds));
        }
    }
}
