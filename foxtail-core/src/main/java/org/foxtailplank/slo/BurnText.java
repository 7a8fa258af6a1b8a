package org.foxtailplank.slo;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** Words a burn report for a terminal. */
public final class BurnText {

    private static final String ROW = "%-18s %9s %8d %8.1f %6.1f%% %7s %7s %10s  %s%n";

    private BurnText() {}

    /** The whole report as lines of text. */
    public static String of(BurnReport report) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-18s %9s %8s %8s %7s %7s %7s %10s  %s%n",
                        "service",
                        "objective",
                        "requests",
                        "budget",
                        "spent",
                        "burn/" + brief(report.shortWindow()),
                        "/" + brief(report.longWindow()),
                        "gone in",
                        "spent on"));
        report.services().forEach(burn -> text.append(row(burn)));
        return text.toString();
    }

    private static String row(ServiceBurn burn) {
        ServiceCounts counts = burn.counts();
        return String.format(
                Locale.ROOT,
                ROW,
                burn.service(),
                String.format(Locale.ROOT, "%.3f%%", burn.objective() * 100),
                counts.total(),
                burn.budget(),
                burn.spentShare() * 100,
                String.format(Locale.ROOT, "%.2f", burn.shortRate()),
                String.format(Locale.ROOT, "%.2f", burn.longRate()),
                gone(burn.exhaustion()),
                causes(counts));
    }

    private static String gone(Optional<Duration> exhaustion) {
        return exhaustion.map(d -> d.isZero() ? "gone" : brief(d)).orElse("never");
    }

    private static String causes(ServiceCounts counts) {
        StringBuilder causes = new StringBuilder();
        for (Spend spend : Spend.values()) {
            if (spend.isBad() && counts.of(spend) > 0) {
                causes.append(causes.length() > 0 ? ", " : "")
                        .append(spend.name().toLowerCase(Locale.ROOT))
                        .append(' ')
                        .append(counts.of(spend));
            }
        }
        return causes.length() == 0 ? "nothing" : causes.toString();
    }

    private static String brief(Duration d) {
        if (d.toHours() > 0) {
            return d.toHours() + "h" + (d.toMinutesPart() > 0 ? d.toMinutesPart() + "m" : "");
        }
        return d.toMinutes() > 0 ? d.toMinutes() + "m" : d.toSeconds() + "s";
    }
}
