package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.port.WaveOrder;
import org.foxtailplank.schedule.DueWave;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When a wave is due for owners that saw its order at different times. */
public class WaveTimesTest {
    private static final long NOW_MS = 5000;
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final WaveOrder WAVE = new WaveOrder(1, List.of("a"), 26_000, 1);

    private JobBook mBook;
    private WaveTimes mTimes;

    @BeforeMethod
    public void setUp() {
        mBook = new JobBook(1000);
        mTimes = new WaveTimes(mBook);
    }

    private static List<DueWave> seen(long leftMs) {
        return List.of(new DueWave(WAVE, NOW_MS + leftMs));
    }

    @Test
    public void anOwnerThatReadTheOrderLateKeepsTheTimeOfTheEarlierOwner() {
        // Operators saw a wave late after a change of owner: 10 of 119 VMs were left. The second
        // owner had been turned away by the store as the wave was ordered, read the order ten
        // seconds later, and thought it due in 18.7 s when 8.7 s were left.
        mBook.apply(new WaveDue(1, WALL_MS + 8700));

        assertEquals(mTimes.due(seen(18_700), NOW_MS, WALL_MS), seen(8700));
    }

    @Test
    public void theFirstOwnerWritesDownWhenAWaveIsDue() {
        assertEquals(
                mTimes.unwritten(seen(26_000), NOW_MS, WALL_MS),
                List.of(new WaveDue(1, WALL_MS + 26_000)));
    }

    @Test
    public void whatIsWrittenDownIsNotWrittenAgain() {
        mBook.apply(new WaveDue(1, WALL_MS + 8700));

        assertEquals(mTimes.unwritten(seen(18_700), NOW_MS, WALL_MS), List.of());
    }

    @Test
    public void aNodeThatSawTheOrderSoonerKnowsBetter() {
        mBook.apply(new WaveDue(1, WALL_MS + 8700));

        assertEquals(mTimes.due(seen(4000), NOW_MS, WALL_MS), seen(4000));
    }

    @Test
    public void aCompletedWaveIsNotWrittenDown() {
        mBook.apply(new WaveCompleted(1));

        assertEquals(mTimes.unwritten(seen(26_000), NOW_MS, WALL_MS), List.of());
    }
}
