package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.schedule.DueWave;

/**
 * When waves are due, as all owners together know it.
 *
 * <p>Guards against a wave that ends late after a change of owner. Its order says how long it may
 * take, not since when, so that a node that was cut off from the store as it was written counts
 * from too late. The first owner that sees it writes the end down; the earliest end counts.
 */
final class WaveTimes {
    private final JobBook mBook;

    WaveTimes(JobBook book) {
        mBook = book;
    }

    /** Waves with the ends of their times, on this process's steady clock. */
    List<DueWave> due(Collection<DueWave> seen, long nowMs, long nowWallMs) {
        List<DueWave> due = new ArrayList<>();
        for (DueWave w : seen) {
            long written =
                    mBook.waveDueMs(w.order().number())
                            .map(d -> nowMs + d - nowWallMs)
                            .orElse(w.dueMs());
            due.add(new DueWave(w.order(), Math.min(w.dueMs(), written)));
        }
        return due;
    }

    /** What has still to be written down of them. */
    List<WaveDue> unwritten(Collection<DueWave> seen, long nowMs, long nowWallMs) {
        List<WaveDue> records = new ArrayList<>();
        for (DueWave w : seen) {
            long number = w.order().number();
            if (mBook.waveDueMs(number).isEmpty() && !mBook.isCompleted(number)) {
                records.add(new WaveDue(number, nowWallMs + w.dueMs() - nowMs));
            }
        }
        return records;
    }
}
