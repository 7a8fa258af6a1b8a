package org.foxtailplank.node.owner;

import org.foxtailplank.schedule.BurstForecast;
import org.foxtailplank.schedule.BurstForecastResult;

/** Logs and counts how forecasts of bursts compared with what came. */
final class ForecastLogger {
    private final OwnerContext mContext;
    private final BurstForecast mForecast;

    ForecastLogger(OwnerContext context, BurstForecast forecast) {
        mContext = context;
        mForecast = forecast;
    }

    /** Writes what has been found out since the last call. */
    void write() {
        mForecast.takeResults().forEach(this::write);
    }

    private void write(BurstForecastResult result) {
        mContext.metrics().counter("burstForecasts_" + result.outcome()).inc();
        mContext.log()
                .line("burst-forecast")
                .with("service", result.service())
                .with("outcome", result.outcome())
                .with("used", result.used())
                .with("confidence", result.confidence())
                .with("expectedMilliCores", result.expectedMilliCores())
                .with("actualMilliCores", result.actualMilliCores())
                .write();
    }
}
