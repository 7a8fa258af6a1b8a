package org.foxtailplank.controller.internal.act;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;

/** Writes records of this process to the log, each with a unique id. */
public final class RecordWriter {
    private final NodeId mSelf;
    private final String mIncarnation;
    private final FleetLog mLog;
    private final AtomicLong mCount = new AtomicLong();

    /**
     * Creates a writer.
     *
     * @param self this node
     * @param incarnation unique name of this run of the process, which keeps ids unique across
     *     restarts
     * @param log the log
     */
    public RecordWriter(NodeId self, String incarnation, FleetLog log) {
        mSelf = self;
        mIncarnation = incarnation;
        mLog = log;
    }

    /** Returns a new record id. */
    public RecordId nextId() {
        return RecordId.of(mSelf + "-" + mIncarnation + "-" + mCount.incrementAndGet());
    }

    /** Writes a change in a record with the given id. */
    public CompletionStage<Verdict> write(
            RecordId id, Optional<ActingEpoch> epoch, Map<ObjectKey, Long> expects, Change change) {
        return mLog.submit(new LogRecord(id, mSelf, epoch, expects, change));
    }
}
