package org.foxtailplank.internal.idempotency;

/**
 * Identifies a period in which the claims stream lost no records.
 *
 * <p>When the stream has lost records, a new era is opened. Claims of any other era are ignored.
 *
 * @param number number of the era, higher for later eras; 0 before the first era
 * @param id distinguishes eras with the same number
 */
public record Era(long number, long id) {

    /** The state before the first era. */
    public static final Era NONE = new Era(0, 0);
}
