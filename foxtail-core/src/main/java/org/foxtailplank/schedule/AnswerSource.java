package org.foxtailplank.schedule;

import org.foxtailplank.job.WorkerIncarnation;

/** The incarnation of a worker that has answered a poll. */
public enum AnswerSource {
    /** The one that is known. */
    CURRENT,
    /** A later one: the worker has started again under its ID. */
    NEXT,
    /** An earlier one; its answer was delayed. */
    FORMER,
    /** Unknown: the answer names no start time, although earlier ones did. */
    UNKNOWN;

    /**
     * Determines which incarnation has answered.
     *
     * <p>An incarnation that answers a poll sent after another one was known is the later one,
     * whatever their start times are, since clocks may be set back. Otherwise start times decide.
     *
     * @param startMs start time in the answer
     * @param sentMs when the poll was sent
     */
    static AnswerSource of(WorkerState worker, long startMs, long sentMs) {
        long knownStartMs = worker.incarnation().startMs();
        if (startMs == knownStartMs) {
            return CURRENT;
        }
        if (startMs == WorkerIncarnation.UNKNOWN_START_MS) {
            return UNKNOWN;
        }
        boolean later = sentMs >= worker.lastAnswerMs() || startMs > knownStartMs;
        return later ? NEXT : FORMER;
    }
}
