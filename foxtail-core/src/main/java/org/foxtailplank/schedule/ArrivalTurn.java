package org.foxtailplank.schedule;

/**
 * A period in which several times the mean number of a service's jobs arrive. Times are in
 * milliseconds.
 *
 * @param beginMs when a twentieth of its jobs had arrived, which is less noisy than the first one
 * @param centerMs mean time of arrival of its jobs
 * @param endMs when all but a twentieth of its jobs had arrived
 * @param jobs number of jobs
 * @param complete whether it is over and was seen from its beginning
 */
record ArrivalTurn(long beginMs, long centerMs, long endMs, int jobs, boolean complete) {
    long lengthMs() {
        return endMs - beginMs;
    }
}
