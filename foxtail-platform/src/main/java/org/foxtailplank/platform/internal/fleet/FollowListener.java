package org.foxtailplank.platform.internal.fleet;

import java.util.List;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.FollowMode;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.Verdict;

/** Hears of what was read from the log. */
interface FollowListener {
    /** A record was folded. */
    void folded(RecordId id, Verdict verdict);

    /** The state has changed. */
    void changed();

    /** What the follower does has changed. */
    void mode(FollowMode mode);

    /** Records that took effect here are missing from the restored state. */
    void missing(List<LogRecord> records);
}
