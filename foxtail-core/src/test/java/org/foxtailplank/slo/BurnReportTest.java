package org.foxtailplank.slo;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.testng.annotations.Test;

/** The report on service-level burn. */
public class BurnReportTest {

    private static final ServiceId CLAIMS = ServiceId.of("claims");
    private static final Instant NOW = Instant.parse("2026-01-01T12:00:00Z");
    private static final Duration HOUR = Duration.ofHours(1);

    @Test
    public void givesRateBudgetAndTimeToExhaustion() {
        BurnBook book = BurnBook.keeping(HOUR);
        book.add(report("entry-1", 1, 1, NOW.minusSeconds(1800), 950, 0));
        book.add(report("entry-2", 2, 1, NOW.minusSeconds(60), 45, 5));

        ServiceBurn burn = only(book);

        assertEquals(burn.counts().total(), 1000);
        assertEquals(burn.budget(), 10.0, 1e-6);
        assertEquals(burn.spentShare(), 0.5, 1e-6);
        assertEquals(burn.longRate(), 0.5, 1e-6);
        assertEquals(burn.shortRate(), 10.0, 1e-6);
        assertEquals(burn.exhaustion(), Optional.of(Duration.ofSeconds(180)));
    }

    /*
     * An operator sees a burn rate twice as high as the callers felt. The platform took a report,
     * lost the answer, and the entry appended the same interval again.
     */
    @Test
    public void countsAnIntervalOnceThoughItStandsOnTheLogTwice() {
        BurnBook book = BurnBook.keeping(HOUR);
        assertTrue(book.add(report("entry-1", 1, 1, NOW, 90, 10)));
        assertFalse(book.add(report("entry-1", 1, 1, NOW, 90, 10)));

        assertEquals(only(book).counts().bad(), 10);
    }

    /*
     * An entry VM is replaced under the same name, and its new process counts from 1 again. The
     * burn of the first process would vanish if the name alone told intervals apart.
     */
    @Test
    public void keepsWhatAReplacedEntryHadCounted() {
        BurnBook book = BurnBook.keeping(HOUR);
        book.add(report("entry-1", 1, 1, NOW.minusSeconds(20), 90, 10));
        assertTrue(book.add(report("entry-1", 2, 1, NOW, 100, 0)));

        assertEquals(only(book).counts().total(), 200);
    }

    @Test
    public void forgetsWhatIsOlderThanItKeeps() {
        BurnBook book = BurnBook.keeping(HOUR);
        book.add(report("entry-1", 1, 1, NOW.minus(HOUR).minusSeconds(1), 1, 1));
        book.add(report("entry-1", 1, 2, NOW, 1, 0));

        book.expire(NOW);

        assertEquals(book.size(), 1);
    }

    @Test
    public void namesWhatSpentTheBudget() {
        BurnBook book = BurnBook.keeping(HOUR);
        book.add(report("entry-1", 1, 1, NOW, 90, 10));

        String text = BurnText.of(BurnReport.of(book, Map.of(CLAIMS, 0.99), HOUR, NOW));

        assertTrue(text.contains("refused 10"), text);
        assertTrue(text.contains("gone"), text);
    }

    private static ServiceBurn only(BurnBook book) {
        return BurnReport.of(book, Map.of(CLAIMS, 0.99), HOUR, NOW).services().get(0);
    }

    private static IntervalReport report(
            String node, long incarnation, long sequence, Instant end, long good, long refused) {
        ServiceCounts counts = new ServiceCounts(Map.of(Spend.NONE, good, Spend.REFUSED, refused));
        return new IntervalReport(
                NodeId.of(node), incarnation, sequence, end, Map.of(CLAIMS, counts));
    }
}
