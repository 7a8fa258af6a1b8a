package org.foxtailplank.slo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.ServiceId;

/** Merges the interval reports of all nodes, present and replaced, over a bounded time. */
public final class BurnBook {

    private record Key(String node, long incarnation, long sequence) {}

    private final Duration mKept;
    private final Deque<IntervalReport> mReports = new ArrayDeque<>();
    private final Set<Key> mSeen = new HashSet<>();

    private BurnBook(Duration kept) {
        mKept = kept;
    }

    /** A book that forgets reports older than the given time. */
    public static BurnBook keeping(Duration kept) {
        return new BurnBook(kept);
    }

    /**
     * Adds a report; returns whether it is new.
     *
     * <p>Guards against counting twice: an append whose answer was lost is repeated, and then the
     * same interval stands on the log twice. Node, incarnation and sequence name an interval for
     * good, since a replaced node draws a new incarnation.
     */
    public boolean add(IntervalReport report) {
        Key key = new Key(report.node().value(), report.incarnation(), report.sequence());
        if (!mSeen.add(key)) {
            return false;
        }
        mReports.addLast(report);
        return true;
    }

    /** Forgets what is older than the kept time. */
    public void expire(Instant now) {
        Instant oldest = now.minus(mKept);
        mReports.removeIf(
                r -> {
                    boolean old = r.end().isBefore(oldest);
                    if (old) {
                        mSeen.remove(new Key(r.node().value(), r.incarnation(), r.sequence()));
                    }
                    return old;
                });
    }

    /** Counts of all nodes in the window that ends now. */
    public Map<ServiceId, ServiceCounts> within(Duration window, Instant now) {
        Instant from = now.minus(window);
        Map<ServiceId, ServiceCounts> sums = new HashMap<>();
        for (IntervalReport report : mReports) {
            if (report.end().isAfter(from) && !report.end().isAfter(now)) {
                report.services().forEach((s, c) -> sums.merge(s, c, ServiceCounts::plus));
            }
        }
        return sums;
    }

    /** Reports held. */
    public int size() {
        return mReports.size();
    }
}
