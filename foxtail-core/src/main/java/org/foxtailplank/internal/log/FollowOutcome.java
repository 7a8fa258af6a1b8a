package org.foxtailplank.internal.log;

import java.util.List;
import org.foxtailplank.id.RecordId;

/** How a page goes on from what a reader has read before. */
public sealed interface FollowOutcome {

    /**
     * It goes on; there may be nothing new.
     *
     * @param fresh records that the reader has not seen, in order
     */
    record Follows(List<LogItem> fresh) implements FollowOutcome {

        public Follows {
            fresh = List.copyOf(fresh);
        }
    }

    /**
     * Records that the reader has not seen have expired: it needs a snapshot.
     *
     * @param next offset that it would have read next
     * @param oldest oldest offset that is kept
     */
    record BehindHorizon(long next, long oldest) implements FollowOutcome {}

    /**
     * Records that the reader has seen are gone; the log may be empty.
     *
     * @param next offset that it would have read next
     * @param end offset after the last record that the log has
     */
    record CameBackShorter(long next, long end) implements FollowOutcome {}

    /**
     * Another record stands where one was that the reader has seen.
     *
     * @param offset the place
     * @param seen what the reader saw there
     */
    record Rewritten(long offset, RecordId seen) implements FollowOutcome {}
}
