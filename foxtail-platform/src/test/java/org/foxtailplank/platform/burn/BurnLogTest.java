package org.foxtailplank.platform.burn;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.slo.ServiceCounts;
import org.foxtailplank.slo.Spend;
import org.testng.annotations.Test;

/** Interval reports through the log. */
public class BurnLogTest {

    private static final ServiceId CLAIMS = ServiceId.of("claims");
    private static final Instant NOW = Instant.parse("2026-01-01T12:00:00Z");
    private static final Duration HOUR = Duration.ofHours(1);

    private final Map<ServiceId, ServiceCounts> mCounts = new HashMap<>();

    /*
     * The platform takes a report, the answer is lost, and the entry appends it again. The burn
     * rate that an operator reads must not double.
     */
    @Test
    public void countsOnceWhatWasAppendedTwiceAfterALostAnswer() {
        FakeLog log = new FakeLog();
        BurnLog burn = burnOf(log, 1);
        count(10);
        log.mLoseAnswers = true;
        burn.endInterval(NOW);
        log.mLoseAnswers = false;
        burn.endInterval(NOW);

        assertEquals(log.mEntries.size(), 2);
        assertEquals(refusedAsReadBy(burn), 10);
    }

    /*
     * An entry VM is replaced. What its process had reported before must still be in the report
     * that another entry gives, together with what its successor counts.
     */
    @Test
    public void keepsWhatAReplacedEntryHadReported() {
        FakeLog log = new FakeLog();
        count(10);
        burnOf(log, 1).endInterval(NOW);
        mCounts.clear();
        count(3);
        burnOf(log, 2).endInterval(NOW);

        assertEquals(refusedAsReadBy(burnOf(log, 3)), 13);
    }

    /*
     * The platform is away for several intervals. The burn of that time is not lost, and each
     * interval is written when the platform is back.
     */
    @Test
    public void writesTheIntervalsOfAnOutageWhenThePlatformIsBack() {
        FakeLog log = new FakeLog();
        BurnLog burn = burnOf(log, 1);
        log.mDown = true;
        count(1);
        burn.endInterval(NOW);
        count(5);
        burn.endInterval(NOW);
        log.mDown = false;
        burn.endInterval(NOW);

        assertEquals(log.mEntries.size(), 2);
        assertEquals(refusedAsReadBy(burn), 5);
    }

    private BurnLog burnOf(PlatformLog log, long incarnation) {
        return BurnLog.of(log, NodeId.of("entry-1"), incarnation, () -> Map.copyOf(mCounts), HOUR);
    }

    private void count(long refusedSoFar) {
        mCounts.put(CLAIMS, new ServiceCounts(Map.of(Spend.REFUSED, refusedSoFar)));
    }

    private static long refusedAsReadBy(BurnLog burn) {
        burn.refresh();
        return burn.report(Map.of(CLAIMS, 0.99), HOUR, NOW)
                .services()
                .get(0)
                .counts()
                .of(Spend.REFUSED);
    }

    /** A log in memory that can be away or lose the answers to appends. */
    private static final class FakeLog implements PlatformLog {

        private final List<StoredEntry> mEntries = new ArrayList<>();
        private boolean mDown;
        private boolean mLoseAnswers;

        @Override
        public CompletionStage<AppendResult> append(String stream, List<LogEntry> entries) {
            if (mDown) {
                return failed(PlatformException.Effect.NONE);
            }
            long first = mEntries.size() + 1;
            entries.forEach(
                    e -> mEntries.add(new StoredEntry(mEntries.size() + 1, e.id(), e.data())));
            return mLoseAnswers
                    ? failed(PlatformException.Effect.UNKNOWN)
                    : CompletableFuture.completedFuture(
                            new AppendResult(first, mEntries.size() + 1));
        }

        @Override
        public CompletionStage<ReadResult> read(
                String stream, long from, int limit, Duration wait) {
            List<StoredEntry> found = mEntries.stream().filter(e -> e.offset() >= from).toList();
            return CompletableFuture.completedFuture(new ReadResult(1, mEntries.size() + 1, found));
        }

        private static <T> CompletionStage<T> failed(PlatformException.Effect effect) {
            return CompletableFuture.failedFuture(new PlatformException("no answer", effect));
        }
    }
}
