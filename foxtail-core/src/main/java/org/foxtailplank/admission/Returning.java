package org.foxtailplank.admission;

/**
 * What is known of a submitted job's earlier refusals.
 *
 * @param elapsedMs time since the first refusal, in milliseconds; 0 if it was not refused
 * @param due whether the time at which it was asked to return has come
 */
public record Returning(long elapsedMs, boolean due) {
    /** A job that was not refused before. */
    public static final Returning FIRST_TIME = new Returning(0, false);
}
