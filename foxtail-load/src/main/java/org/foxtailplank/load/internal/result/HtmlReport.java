package org.foxtailplank.load.internal.result;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.foxtailplank.load.internal.run.Ending;

/** Draws a result as one HTML page with plots. */
public final class HtmlReport {

    private static final String[] COLOURS = {"#1b6ca8", "#c0392b", "#218c53", "#8e44ad", "#d68910"};

    private HtmlReport() {}

    /** The page. */
    public static String of(LoadResult result) {
        List<StepResult> steps = result.runs().get(0);
        return "<!doctype html><meta charset=\"utf-8\"><title>foxtail-load</title>"
                + "<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;"
                + "text-align:right}</style><h1>"
                + escape(result.profile())
                + "</h1><p>seed "
                + result.seed()
                + ", "
                + escape(result.machine())
                + ", first of "
                + result.runs().size()
                + " runs; 1 x is "
                + result.capacityPerSecond()
                + " requests/s</p>"
                + plotOf("Goodput, requests/s", steps, goodput(result))
                + plotOf("Latency from the intended send time, ms", steps, latencies())
                + plotOf("Endings, share of offered", steps, endings())
                + table(steps);
    }

    private record Line(String label, ToDoubleFunction<StepResult> reader) {}

    private static List<Line> goodput(LoadResult result) {
        return List.of(
                new Line("goodput", StepResult::goodputPerSecond),
                new Line("offered", s -> s.load() * result.capacityPerSecond()));
    }

    private static List<Line> latencies() {
        return List.of(
                new Line("p50", s -> s.latency().p50()),
                new Line("p99", s -> s.latency().p99()),
                new Line("p99.9", s -> s.latency().p999()));
    }

    private static List<Line> endings() {
        List<Line> lines = new ArrayList<>();
        for (Ending ending : List.of(Ending.OK, Ending.LATE, Ending.NOT_RUN, Ending.UNKNOWN)) {
            lines.add(
                    new Line(
                            ending.name().toLowerCase(Locale.ROOT),
                            s -> (double) s.count(ending) / Math.max(1, s.offered())));
        }
        return lines;
    }

    private static String plotOf(String title, List<StepResult> steps, List<Line> lines) {
        LinePlot plot = LinePlot.titled(title, "load, x capacity");
        for (int i = 0; i < lines.size(); i++) {
            Line line = lines.get(i);
            List<LinePlot.Point> points = new ArrayList<>();
            steps.forEach(
                    s -> points.add(new LinePlot.Point(s.load(), line.reader.applyAsDouble(s))));
            plot.add(line.label, COLOURS[i % COLOURS.length], points);
        }
        return plot.toSvg();
    }

    private static String table(List<StepResult> steps) {
        StringBuilder html = new StringBuilder("<table><tr><th>load<th>offered<th>goodput/s");
        html.append("<th>p50<th>p99<th>p99.9<th>max<th>endings</tr>");
        for (StepResult s : steps) {
            html.append(
                    String.format(
                            Locale.ROOT,
                            "<tr><td>%.2f<td>%d<td>%.1f<td>%.2f<td>%.2f<td>%.2f<td>%.2f<td>%s</tr>",
                            s.load(),
                            s.offered(),
                            s.goodputPerSecond(),
                            s.latency().p50(),
                            s.latency().p99(),
                            s.latency().p999(),
                            s.latency().max(),
                            escape(s.endings().toString())));
        }
        return html.append("</table>").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }
}
