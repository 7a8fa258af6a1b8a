package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.schedule.DueWave;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the deadline of a wave for owners that saw it at different times. */
public class WaveDeadlinesTest {
    private static final long NOW_MS = 5000;
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final MaintenanceWave WAVE = new MaintenanceWave(1, List.of("a"), 26_000, 1);

    private JobRegistry mRegistry;
    private WaveDeadlines mDeadlines;

    @BeforeMethod
    public void setUp() {
        mRegistry = new JobRegistry(1000);
        mDeadlines = new WaveDeadlines(mRegistry);
    }

    private static List<DueWave> waveDueIn(long leftMs) {
        return List.of(new DueWave(WAVE, NOW_MS + leftMs));
    }

    @Test
    public void recordedDeadlineWinsOverLaterOne() {
        // An owner that read the wave late, such as after a store outage, must not extend the
        // wave.
        mRegistry.apply(new WaveDue(1, WALL_MS + 8700));

        assertEquals(mDeadlines.withDeadlines(waveDueIn(18_700), NOW_MS, WALL_MS), waveDueIn(8700));
    }

    @Test
    public void unrecordedDeadlineIsRecorded() {
        assertEquals(
                mDeadlines.missingRecords(waveDueIn(26_000), NOW_MS, WALL_MS),
                List.of(new WaveDue(1, WALL_MS + 26_000)));
    }

    @Test
    public void recordedDeadlineIsNotRecordedAgain() {
        mRegistry.apply(new WaveDue(1, WALL_MS + 8700));

        assertEquals(mDeadlines.missingRecords(waveDueIn(18_700), NOW_MS, WALL_MS), List.of());
    }

    @Test
    public void earlierDeadlineWinsOverRecordedOne() {
        mRegistry.apply(new WaveDue(1, WALL_MS + 8700));

        assertEquals(mDeadlines.withDeadlines(waveDueIn(4000), NOW_MS, WALL_MS), waveDueIn(4000));
    }

    @Test
    public void deadlineOfCompletedWaveIsNotRecorded() {
        mRegistry.apply(new WaveCompleted(1));

        assertEquals(mDeadlines.missingRecords(waveDueIn(26_000), NOW_MS, WALL_MS), List.of());
    }
}
