package org.foxtailplank.load.internal.waits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A row a service: how long its jobs waited for their first task, and for what.
 *
 * <p>Time without an owner counts first, then time in which the store took nothing; what is left of
 * a wait is for room on workers, but for the time that a start takes anyhow.
 */
final class WaitTable {
    /** Time from acceptance to the first start where nothing holds a job up, in milliseconds. */
    private static final long START_MS = 60;

    private static final long MS_PER_S = 1000;
    private static final String ROW = "%-16s %6s %8s %11s %8s %8s %8s %8s";

    private final WaitLog mLog;
    private final Map<String, Row> mRows = new TreeMap<>();

    /** Sums for one service, in milliseconds but for the counts. */
    private static final class Row {
        int mJobs;
        int mNeverStarted;
        long mStart;
        long mOwner;
        long mStore;
        long mRoom;
    }

    WaitTable(WaitLog log) {
        mLog = log;
        log.jobs().forEach(this::add);
    }

    private void add(WaitLog.Job job) {
        Row row = mRows.computeIfAbsent(job.service(), s -> new Row());
        row.mJobs++;
        if (!job.hasStarted()) {
            row.mNeverStarted++;
            return;
        }
        Span wait = job.waiting();
        long owner = shared(mLog.withoutOwner(), wait);
        long store = Math.min(shared(mLog.storeRefuses(), wait), wait.lengthMs() - owner);
        long rest = wait.lengthMs() - owner - store;
        long start = Math.min(rest, START_MS);
        row.mOwner += owner;
        row.mStore += store;
        row.mStart += start;
        row.mRoom += rest - start;
    }

    /** How much of a wait lies in stretches that are in order and may overlap. */
    private static long shared(List<Span> spans, Span wait) {
        long sum = 0;
        long doneMs = Long.MIN_VALUE;
        for (Span s : spans) {
            Span fresh = new Span(Math.max(s.fromMs(), doneMs), s.toMs());
            sum += fresh.shared(wait);
            doneMs = Math.max(doneMs, s.toMs());
        }
        return sum;
    }

    /** The table, a line each; sums of waiting in seconds. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        ROW,
                        "service",
                        "jobs",
                        "refused",
                        "not started",
                        "owner s",
                        "store s",
                        "room s",
                        "start s"));
        mRows.forEach((service, row) -> lines.add(line(service, row)));
        return lines;
    }

    private String line(String service, Row row) {
        return String.format(
                ROW,
                service,
                row.mJobs,
                mLog.refused().getOrDefault(service, 0),
                row.mNeverStarted,
                seconds(row.mOwner),
                seconds(row.mStore),
                seconds(row.mRoom),
                seconds(row.mStart));
    }

    private static String seconds(long ms) {
        return String.format("%.1f", (double) ms / MS_PER_S);
    }
}
