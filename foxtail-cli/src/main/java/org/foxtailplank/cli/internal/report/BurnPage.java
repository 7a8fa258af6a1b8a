package org.foxtailplank.cli.internal.report;

import java.util.Locale;
import java.util.Map;
import org.foxtailplank.slo.BurnReport;
import org.foxtailplank.slo.BurnText;
import org.foxtailplank.slo.ServiceBurn;
import org.foxtailplank.slo.Spend;

/** Writes the burn report as an HTML page with plots. */
final class BurnPage {
    private static final int WIDTH = 480;
    private static final int ROW = 22;
    private static final int BAR = 14;
    private static final int LABEL = 150;
    private static final Map<Spend, String> COLOURS =
            Map.of(
                    Spend.LATE, "#e0a030",
                    Spend.REFUSED, "#4878a8",
                    Spend.FAILED, "#b03030",
                    Spend.WAVE, "#609060");

    private BurnPage() {}

    static String of(String deployment, BurnReport report) {
        String title = "Service-level burn of " + escaped(deployment);
        return """
        <!DOCTYPE html>
        <html lang="en"><head><meta charset="utf-8"><title>%1$s</title>
        <style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}
        svg text{font-size:12px}</style></head><body>
        <h1>%1$s</h1>
        <p>At %2$s, over %3$s (short window %4$s).</p>
        <h2>Share of the error budget that is spent, by cause</h2>
        %5$s
        <p>%6$s The line marks the whole budget.</p>
        <h2>Figures</h2>
        <pre>%7$s</pre>
        </body></html>
        """
                .formatted(
                        title,
                        report.at(),
                        report.longWindow(),
                        report.shortWindow(),
                        plot(report),
                        legend(),
                        escaped(BurnText.of(report)));
    }

    private static String plot(BurnReport report) {
        double widest =
                report.services().stream().mapToDouble(ServiceBurn::spentShare).max().orElse(0);
        double scale = WIDTH / Math.max(1, widest);
        StringBuilder svg = new StringBuilder();
        int height = ROW * report.services().size();
        svg.append(tag("<svg width=\"%d\" height=\"%d\">", LABEL + WIDTH, height));
        int y = 0;
        for (ServiceBurn burn : report.services()) {
            svg.append(bar(burn, y, scale));
            y += ROW;
        }
        double whole = LABEL + scale;
        svg.append(
                tag(
                        "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%d\" stroke=\"#000\"/>",
                        whole, whole, height));
        return svg.append("</svg>").toString();
    }

    private static String bar(ServiceBurn burn, int y, double scale) {
        StringBuilder bar = new StringBuilder();
        String name = escaped(burn.service().value());
        bar.append(tag("<text x=\"0\" y=\"%d\">%s</text>", y + BAR, name));
        double x = LABEL;
        long bad = Math.max(1, burn.counts().bad());
        for (Spend spend : Spend.values()) {
            long count = burn.counts().of(spend);
            if (spend.isBad() && count > 0) {
                double width = scale * burn.spentShare() * count / bad;
                bar.append(
                        tag(
                                "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\""
                                        + " fill=\"%s\"><title>%s %d</title></rect>",
                                x, y, width, BAR, COLOURS.get(spend), text(spend), count));
                x += width;
            }
        }
        return bar.toString();
    }

    private static String legend() {
        StringBuilder legend = new StringBuilder();
        for (Spend spend : Spend.values()) {
            if (spend.isBad()) {
                legend.append(
                        tag(
                                "<span style=\"color:%s\">&#9632;</span> %s ",
                                COLOURS.get(spend), text(spend)));
            }
        }
        return legend.toString();
    }

    private static String text(Spend spend) {
        return spend.name().toLowerCase(Locale.ROOT);
    }

    private static String tag(String form, Object... values) {
        return String.format(Locale.ROOT, form, values);
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
