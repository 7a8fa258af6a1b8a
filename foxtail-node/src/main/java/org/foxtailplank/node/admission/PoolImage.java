package org.foxtailplank.node.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;

/**
 * A pool as reports express it: with less precision, so that small changes need no bytes. Work is
 * rounded down and capacity joins early, so that the rounding never causes a refusal.
 *
 * @param values capacity, free capacity, work in time, late and in excess, the share, and the part
 * @param joining joining capacity in millicores, by the time at which it joins on the owner's clock
 *     in units of {@link CapacityFields#JOIN_UNIT_MS}
 * @param organisations the organisations whose caps delay their jobs most
 */
record PoolImage(
        List<Long> values,
        Map<Long, Long> joining,
        Map<String, OrganisationCapacity> organisations) {
    /** A pool of which nothing is known. */
    static final PoolImage NONE =
            new PoolImage(List.of(0L, 0L, 0L, 0L, 0L, 0L, 0L), Map.of(), Map.of());

    /** Index of the share among the values. */
    private static final int SHARE = 5;

    /** Index of the part among the values. */
    private static final int PART = 6;

    /** Significant bits of work: errors below 0.8%. */
    private static final int VALUE_BITS = 8;

    /** Significant bits of the waiting work of an organisation: errors below 3.2%. */
    private static final int ORGANISATION_BITS = 6;

    /** Significant bits of the part, which only spreads returns over time. */
    private static final int PART_BITS = 4;

    /** Most times at which capacity joins; later ones count as the last. */
    private static final int MAX_JOINING = 6;

    /** Returns the image of a pool without a share, whose measurement is on the owner's clock. */
    static PoolImage of(QueueCapacity c) {
        return new PoolImage(
                List.of(
                        c.milliCores(),
                        c.freeMilliCores(),
                        roundedWork(c.inTimeWork(), VALUE_BITS),
                        roundedWork(c.lateWork(), VALUE_BITS),
                        roundedWork(c.excessWork(), VALUE_BITS),
                        0L,
                        0L),
                joining(c),
                organisations(c));
    }

    /** Returns this image with the share and the part that a report says. */
    PoolImage withShare(ReportedPool pool) {
        List<Long> shared = new ArrayList<>(values);
        shared.set(SHARE, roundedWork(pool.share().work(), VALUE_BITS));
        shared.set(PART, rounded(pool.part(), PART_BITS));
        return new PoolImage(shared, joining, organisations);
    }

    /**
     * Returns the pool with a measurement at a time on the owner's clock, in another one's time.
     */
    ReportedPool toPool(String service, long measuredMs, long offsetMs) {
        List<Joining> joins = new ArrayList<>();
        joining.forEach(
                (at, cores) ->
                        joins.add(
                                new Joining(
                                        Math.max(0, at * CapacityFields.JOIN_UNIT_MS - measuredMs),
                                        cores)));
        QueueCapacity capacity =
                new QueueCapacity(
                        service,
                        measuredMs + offsetMs,
                        values.get(0),
                        values.get(1),
                        joins,
                        values.get(2) * CapacityFields.WORK_UNIT,
                        values.get(3) * CapacityFields.WORK_UNIT,
                        values.get(4) * CapacityFields.WORK_UNIT,
                        organisations);
        return new ReportedPool(
                capacity,
                new AdmittedShare(values.get(SHARE) * CapacityFields.WORK_UNIT),
                values.get(PART).intValue());
    }

    private static Map<Long, Long> joining(QueueCapacity capacity) {
        TreeMap<Long, Long> joining = new TreeMap<>();
        for (Joining j : capacity.joining()) {
            long at = (capacity.measuredMs() + j.afterMs()) / CapacityFields.JOIN_UNIT_MS;
            boolean full = joining.size() >= MAX_JOINING && !joining.containsKey(at);
            joining.merge(full ? joining.lastKey() : at, j.milliCores(), Long::sum);
        }
        return joining;
    }

    private static Map<String, OrganisationCapacity> organisations(QueueCapacity capacity) {
        Map<String, OrganisationCapacity> images = new LinkedHashMap<>();
        capacity.organisations().entrySet().stream()
                .sorted(Comparator.comparingDouble(e -> -delay(e.getValue())))
                .limit(CapacityFields.MAX_ORGANISATIONS)
                .forEach(e -> images.put(e.getKey(), image(e.getValue())));
        return images;
    }

    private static double delay(OrganisationCapacity organisation) {
        return organisation.waitingWork() / (double) Math.max(1, organisation.milliCores());
    }

    private static OrganisationCapacity image(OrganisationCapacity organisation) {
        return new OrganisationCapacity(
                organisation.milliCores(),
                roundedWork(organisation.waitingWork(), ORGANISATION_BITS)
                        * CapacityFields.WORK_UNIT);
    }

    private static long roundedWork(long work, int bits) {
        return rounded(work / CapacityFields.WORK_UNIT, bits);
    }

    /** Rounds down to a number of significant bits; negative values become 0. */
    private static long rounded(long value, int bits) {
        if (value <= 0) {
            return 0;
        }
        int dropped = Math.max(0, Long.SIZE - Long.numberOfLeadingZeros(value) - bits);
        return value >> dropped << dropped;
    }
}
