package org.foxtailplank.internal.idempotency;

/**
 * An uninterrupted history of the claims stream.
 *
 * <p>A stream that came back without records it once held is continued under a new era. Claims made
 * under another era are void.
 *
 * @param number later eras have higher numbers; 0 for none yet
 * @param id tells eras of the same number apart
 */
public record Era(long number, long id) {

    /** No era was ever opened. */
    public static final Era NONE = new Era(0, 0);
}
