package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.schedule.DueWave;

/** When waves are due, as all owners together know it. */
final class WaveTimes {
    private final JobBook mBook;

    WaveTimes(JobBook book) {
        mBook = book;
    }

    /** Waves with the ends of their times, on this process's steady clock. */
    List<DueWave> due(Collection<DueWave> seen, long nowMs, long nowWallMs) {
        return new ArrayList<>(seen);
    }

    /** What has still to be written down of them. */
    List<WaveDue> unwritten(Collection<DueWave> seen, long nowMs, long nowWallMs) {
        return List.of();
    }
}
