package org.foxtailplank.load.internal.result;

import java.util.DoubleSummaryStatistics;
import java.util.List;

/**
 * A figure over several runs.
 *
 * @param mean mean of the runs
 * @param low smallest
 * @param high largest
 * @param runs number of runs
 */
public record Spread(double mean, double low, double high, int runs) {

    /** The spread of the given figures. */
    public static Spread of(List<Double> figures) {
        DoubleSummaryStatistics s =
                figures.stream().mapToDouble(Double::doubleValue).summaryStatistics();
        return new Spread(s.getAverage(), s.getMin(), s.getMax(), figures.size());
    }

    /** Whether two figures differ by more than their runs differ among themselves. */
    public boolean isApartFrom(Spread other) {
        boolean enough = runs > 1 && other.runs > 1;
        return enough && (low > other.high || high < other.low);
    }
}
