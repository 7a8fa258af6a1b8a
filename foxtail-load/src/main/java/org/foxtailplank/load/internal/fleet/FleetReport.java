package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.foxtailplank.load.internal.result.LinePlot;

/** Words and draws a result. */
final class FleetReport {

    private FleetReport() {}

    /** The result in lines for a terminal. */
    static List<String> lines(FleetResult result) {
        List<String> lines = new ArrayList<>();
        lines.add(
                format(
                        "%s, %d VMs, seed %d, %s",
                        result.scenario(), result.vms(), result.seed(), result.machine()));
        result.capacity().forEach(c -> lines.add(line(c)));
        if (result.capacity().size() == 2) {
            lines.add(ratios(result.capacity().get(0), result.capacity().get(1)));
        }
        result.curve().forEach(c -> lines.add(line(c)));
        result.cost().ifPresent(c -> lines.add(line(c)));
        result.placement().forEach(p -> lines.addAll(lines(p)));
        return lines;
    }

    private static String line(CapacityResult c) {
        return format(
                "%s w=%.2f: buffer mean %.2f peak %.1f (with reserves %.2f), short %.3f, wave %.1f"
                    + " min (%.0f%% done, %d rebooted), moves %d, violations %d, refused %d, pauses"
                    + " %d, decisions p99 wave %.2f ms buffer %.2f ms",
                c.policy(),
                c.rolloutWeight(),
                c.bufferMean(),
                c.bufferPeak(),
                c.spareMean(),
                c.shortMean(),
                c.waveMinutes(),
                100 * c.waveDone(),
                c.rebooted(),
                c.moves(),
                c.violations(),
                c.refused(),
                c.pauses(),
                c.waveDecisionMs(),
                c.bufferDecisionMs());
    }

    private static String line(CostResult c) {
        return format(
                "cost: wave in a zone p50 %.2f p99 %.2f ms, plan of %d steps %.1f ms, buffer p50"
                        + " %.2f p99 %.2f ms, state %.1f MiB, history %.1f MiB",
                c.waveP50Ms(),
                c.waveP99Ms(),
                c.planSteps(),
                c.planMs(),
                c.bufferP50Ms(),
                c.bufferP99Ms(),
                c.stateHeapMiB(),
                c.historyHeapMiB());
    }

    private static String ratios(CapacityResult ours, CapacityResult naive) {
        return format(
                "ratios: buffer mean %.2f, peak %.2f (with reserves %.2f), whole wave %.3f"
                        + " (to one at a time without waiting %.3f), moves %s",
                ours.bufferMean() / naive.bufferMean(),
                ours.bufferPeak() / naive.bufferPeak(),
                ours.spareMean() / naive.spareMean(),
                ours.wholeWaveMinutes() / naive.wholeWaveMinutes(),
                ours.wholeWaveMinutes() / ours.serialMinutes(),
                naive.moves() == 0
                        ? "none in the baseline"
                        : format("%.2f", (double) ours.moves() / naive.moves()));
    }

    private static List<String> lines(PlacementResult p) {
        return List.of(
                format(
                        "%s: urgent start p50 %.0f p99 %.0f max %.0f ms (platform well: p99 %.0f"
                            + " max %.0f), %d of %d late (%d while the platform was in trouble)",
                        p.policy(),
                        p.urgentP50Ms(),
                        p.urgentP99Ms(),
                        p.urgentMaxMs(),
                        p.calmP99Ms(),
                        p.calmMaxMs(),
                        p.urgentLate(),
                        p.urgent(),
                        p.urgentLateInTrouble()),
                format(
                        "  starts %d (%d on black holes), out of memory %d, throttles %d,"
                                + " checkpoints %d, stops %d, succeeded %d, used %.1f%%",
                        p.starts(),
                        p.blackHoleStarts(),
                        p.outOfMemory(),
                        p.throttles(),
                        p.checkpoints(),
                        p.stops(),
                        p.succeeded(),
                        100 * p.usedShare()),
                format(
                        "  never running %d, refused %d of them and %d others, void %d, decision"
                                + " p99 %.2f max %.1f ms",
                        p.neverRunning(),
                        p.refusedNever(),
                        p.refusedOthers(),
                        p.voided(),
                        p.decisionP99Ms(),
                        p.decisionMaxMs()));
    }

    /** The result as a page with the curve over the weight. */
    static String html(FleetResult result) {
        StringBuilder html = new StringBuilder("<!doctype html><meta charset=\"utf-8\">");
        html.append(
                "<title>foxtail-load fleet</title><style>body{font:14px sans-serif;margin:2em}");
        html.append("</style><h1>").append(result.scenario()).append("</h1>");
        if (!result.curve().isEmpty()) {
            html.append(curve(result.curve()));
        }
        html.append("<pre>");
        lines(result).forEach(l -> html.append(l.replace("<", "&lt;")).append('\n'));
        return html.append("</pre>").toString();
    }

    private static String curve(List<CapacityResult> curve) {
        List<LinePlot.Point> buffer = new ArrayList<>();
        List<LinePlot.Point> wave = new ArrayList<>();
        List<LinePlot.Point> both = new ArrayList<>();
        for (CapacityResult c : curve) {
            buffer.add(new LinePlot.Point(c.rolloutWeight(), c.bufferMean()));
            wave.add(new LinePlot.Point(c.rolloutWeight(), c.wholeWaveMinutes()));
            both.add(new LinePlot.Point(c.wholeWaveMinutes(), c.bufferMean()));
        }
        return LinePlot.titled("Mean buffer, VMs", "rolloutWeight")
                        .add("buffer", "#1b6ca8", buffer)
                        .toSvg()
                + LinePlot.titled("Wave time, minutes", "rolloutWeight")
                        .add("wave", "#c0392b", wave)
                        .toSvg()
                + LinePlot.titled("Mean buffer over wave time", "wave time, minutes")
                        .add("buffer", "#218c53", both)
                        .toSvg();
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
