package org.foxtailplank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.TreeMap;
import org.foxtailplank.soak.SoakEvent.SubmitAnswer;

/** A run's outcome as text, and its timeline as a page. */
final class SoakReport {
    /** Violations of one promise that are printed; the page has all. */
    private static final int MOST_PRINTED = 5;

    private static final double MS_PER_S = 1000;

    private SoakReport() {}

    /** A line a promise, and what broke it. */
    static String text(Schedule schedule, SoakRun.Result result, Path folder) {
        StringBuilder out = new StringBuilder();
        long jobs = count(result, SubmitAnswer.class);
        long runs = count(result, SoakEvent.Started.class);
        out.append(
                String.format(
                        Locale.ROOT,
                        "seed %d: %d answers to submissions, %d runs, %d faults, end %s%n",
                        schedule.seed(),
                        jobs,
                        runs,
                        schedule.faults().size(),
                        schedule.ending().word()));
        result.violations()
                .forEach(
                        (promise, broken) -> {
                            String word = broken.isEmpty() ? "kept" : "BROKEN " + broken.size();
                            out.append(String.format("  %-8s %s%n", promise, word));
                            broken.stream()
                                    .limit(MOST_PRINTED)
                                    .forEach(v -> out.append("    ").append(line(v)));
                        });
        if (!result.isKept()) {
            out.append("  logs, schedule and timeline: ").append(folder).append('\n');
        }
        return out.toString();
    }

    private static String line(Violation v) {
        return String.format(Locale.ROOT, "%.3f s %s%n", v.atMs() / MS_PER_S, v.text());
    }

    private static long count(SoakRun.Result result, Class<? extends SoakEvent> kind) {
        return result.events().stream().filter(kind::isInstance).count();
    }

    /** Writes a page with faults, answers a second by status, and what was broken. */
    static void page(Schedule schedule, SoakRun.Result result, Path file) throws IOException {
        StringBuilder out = new StringBuilder("<!doctype html><meta charset=utf-8><title>Soak ");
        out.append(schedule.seed()).append("</title><style>td{padding:0 8px}</style><h1>Seed ");
        out.append(schedule.seed()).append("</h1><h2>Faults</h2><pre>");
        result.faults().forEach(f -> out.append(escaped(f)).append('\n'));
        out.append("</pre><h2>Answers to submissions by second</h2><table>");
        out.append("<tr><th>s<th>accepted<th>refused<th>unanswered or unknown");
        perSecond(result).forEach((second, row) -> row(out, second, row));
        out.append("</table><h2>Broken</h2><pre>");
        result.violations()
                .forEach(
                        (p, all) ->
                                all.forEach(
                                        v -> out.append(p).append(' ').append(escaped(line(v)))));
        Files.writeString(file, out.append("</pre>").toString());
    }

    private static TreeMap<Long, int[]> perSecond(SoakRun.Result result) {
        TreeMap<Long, int[]> seconds = new TreeMap<>();
        for (SoakEvent e : result.events()) {
            if (e instanceof SubmitAnswer answer) {
                int[] row = seconds.computeIfAbsent((long) (e.atMs() / MS_PER_S), s -> new int[3]);
                row[answer.isAccepted() ? 0 : answer.isRefused() ? 1 : 2]++;
            }
        }
        return seconds;
    }

    private static void row(StringBuilder out, long second, int[] row) {
        out.append("<tr><td>").append(second);
        for (int cell : row) {
            out.append("<td>").append(cell);
        }
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }
}
