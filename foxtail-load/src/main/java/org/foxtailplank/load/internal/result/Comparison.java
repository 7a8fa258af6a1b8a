package org.foxtailplank.load.internal.result;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Compares two results step by step, and gives a verdict only where the spread allows one. */
public final class Comparison {

    /** A figure of a step that is compared. */
    private enum Figure {
        GOODPUT("goodput/s", true, StepResult::goodputPerSecond),
        P50("p50 ms", false, s -> s.latency().p50()),
        P99("p99 ms", false, s -> s.latency().p99());

        private final String mLabel;
        private final boolean mMoreIsBetter;
        private final ToDoubleFunction<StepResult> mReader;

        Figure(String label, boolean moreIsBetter, ToDoubleFunction<StepResult> reader) {
            mLabel = label;
            mMoreIsBetter = moreIsBetter;
            mReader = reader;
        }

        String verdict(Spread a, Spread b) {
            if (!a.isApartFrom(b)) {
                return "no verdict";
            }
            return b.mean() > a.mean() == mMoreIsBetter ? "B better" : "A better";
        }
    }

    private Comparison() {}

    /** One line for each step and figure. */
    public static List<String> lines(LoadResult a, LoadResult b) {
        List<String> lines = new ArrayList<>();
        int steps = Math.min(steps(a), steps(b));
        for (int i = 0; i < steps; i++) {
            for (Figure figure : Figure.values()) {
                lines.add(line(figure, i, a, b));
            }
        }
        return lines;
    }

    private static int steps(LoadResult result) {
        return result.runs().stream().mapToInt(List::size).min().orElse(0);
    }

    private static String line(Figure figure, int step, LoadResult a, LoadResult b) {
        Spread left = spread(figure, step, a);
        Spread right = spread(figure, step, b);
        return String.format(
                Locale.ROOT,
                "%4.2fx  %-10s A %9.2f [%.2f..%.2f]  B %9.2f [%.2f..%.2f]  B/A %.3f  %s",
                a.runs().get(0).get(step).load(),
                figure.mLabel,
                left.mean(),
                left.low(),
                left.high(),
                right.mean(),
                right.low(),
                right.high(),
                right.mean() / left.mean(),
                figure.verdict(left, right));
    }

    private static Spread spread(Figure figure, int step, LoadResult result) {
        List<Double> figures = new ArrayList<>();
        result.runs().forEach(r -> figures.add(figure.mReader.applyAsDouble(r.get(step))));
        return Spread.of(figures);
    }
}
