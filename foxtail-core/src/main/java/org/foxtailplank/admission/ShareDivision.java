package org.foxtailplank.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Divides the work that a pool can still accept among the nodes that accept jobs.
 *
 * <p>It answers a load in which 40 nodes receive jobs of one queue at the same time: if each of
 * them used the whole room of a report, they would together accept 40 times as much.
 */
public final class ShareDivision {
    /**
     * Part of the room that is divided evenly, so that a node whose callers arrive only now can
     * accept them before its next report. The rest follows what the nodes accepted recently.
     */
    private static final double EVEN_PART = 0.25;

    /** Unit of parts: millionths. */
    public static final int WHOLE = 1_000_000;

    private ShareDivision() {}

    /**
     * Returns the work that a pool can accept so that it still completes within an objective, in
     * milliseconds times thousandths of a core.
     *
     * @param objectiveMs objective of a typical job of the pool, from its submission
     */
    public static long room(QueueCapacity capacity, long objectiveMs) {
        long limitMs = Math.min(AdmissionDecider.MAX_OBJECTIVE_MS, Math.max(0, objectiveMs));
        long room = capacity.milliCores() * limitMs - capacity.inTimeWork();
        for (QueueCapacity.Joining j : capacity.joining()) {
            room += j.milliCores() * Math.max(0, limitMs - j.afterMs());
        }
        return Math.max(0, room);
    }

    /**
     * Divides a whole in proportion to the work that each node accepted recently. The sum of the
     * parts is never larger than {@link #WHOLE}.
     *
     * @param accepted work that each node accepted recently
     * @param <N> identifies a node
     */
    public static <N> Map<N, Integer> parts(Map<N, Long> accepted) {
        double total = 0;
        for (long a : accepted.values()) {
            total += a;
        }
        double even = (total > 0 ? EVEN_PART : 1) * WHOLE / accepted.size();
        double perAccepted = total > 0 ? (1 - EVEN_PART) * WHOLE / total : 0;
        Map<N, Integer> parts = new LinkedHashMap<>();
        int left = WHOLE;
        for (Map.Entry<N, Long> e : accepted.entrySet()) {
            // Floating-point errors may make the sum of the rounded parts exceed the whole.
            int part = Math.min(left, (int) (even + e.getValue() * perAccepted));
            left -= part;
            parts.put(e.getKey(), part);
        }
        return parts;
    }

    /**
     * Returns a node's share of the work that all nodes together may accept.
     *
     * @param room that work, at least 0, in milliseconds times thousandths of a core
     * @param part the node's part of {@link #WHOLE}
     */
    public static AdmittedShare share(long room, int part) {
        return new AdmittedShare(Math.min(room, Long.MAX_VALUE / WHOLE) * part / WHOLE);
    }
}
