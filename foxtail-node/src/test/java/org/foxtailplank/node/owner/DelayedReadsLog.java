package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** A shared log that executes the reads of one partition when a test lets it. */
final class DelayedReadsLog extends ForwardingLog {
    private final LogPartition mDelayed;
    private final List<Runnable> mReads = new ArrayList<>();

    DelayedReadsLog(SharedLog log, LogPartition delayed) {
        super(log);
        mDelayed = delayed;
    }

    /** Executes the delayed reads. */
    void executeReads() {
        List<Runnable> reads = List.copyOf(mReads);
        mReads.clear();
        reads.forEach(Runnable::run);
    }

    @Override
    public void read(LogPartition at, long from, PageRequest page, Consumer<ReadResult> callback) {
        if (at.equals(mDelayed)) {
            mReads.add(() -> super.read(at, from, page, callback));
        } else {
            super.read(at, from, page, callback);
        }
    }
}
