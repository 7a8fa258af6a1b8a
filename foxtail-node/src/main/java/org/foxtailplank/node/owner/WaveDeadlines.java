package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.schedule.DueWave;

/**
 * Computes the deadlines of waves, shared by successive owners through the journal.
 *
 * <p>A wave's entry has its duration but not its start, so a node that was cut off when the entry
 * was written would compute too late a deadline. The first owner that sees a wave records its
 * deadline in the journal; the earliest one counts.
 */
final class WaveDeadlines {
    private final JobRegistry mRegistry;

    WaveDeadlines(JobRegistry registry) {
        mRegistry = registry;
    }

    /** Returns waves with their deadlines on this process's steady clock. */
    List<DueWave> withDeadlines(Collection<DueWave> waves, long nowMs, long nowWallMs) {
        List<DueWave> result = new ArrayList<>();
        for (DueWave w : waves) {
            long recorded =
                    mRegistry
                            .waveDueMs(w.wave().number())
                            .map(d -> nowMs + d - nowWallMs)
                            .orElse(w.dueMs());
            result.add(new DueWave(w.wave(), Math.min(w.dueMs(), recorded)));
        }
        return result;
    }

    /** Returns records of deadlines that the journal does not have yet. */
    List<WaveDue> missingRecords(Collection<DueWave> waves, long nowMs, long nowWallMs) {
        List<WaveDue> records = new ArrayList<>();
        for (DueWave w : waves) {
            long number = w.wave().number();
            if (mRegistry.waveDueMs(number).isEmpty() && !mRegistry.isCompleted(number)) {
                records.add(new WaveDue(number, nowWallMs + w.dueMs() - nowMs));
            }
        }
        return records;
    }
}
