package org.foxtailplank.admission;

/**
 * Work that a node may accept until the next report, in milliseconds times thousandths of a core.
 *
 * @param work share of the work that the pool can complete in time
 */
public record AdmittedShare(long work) {
    /** Share of a node without a limit. */
    public static final AdmittedShare UNLIMITED = new AdmittedShare(Long.MAX_VALUE);
}
