package org.foxtailplank.state;

/**
 * The part of the log that a writer had folded when it created a record.
 *
 * @param offset offset of the next record
 * @param digest digest of the records before it
 */
public record Basis(long offset, long digest) {
    /** The log before its first record. */
    public static final Basis NONE = new Basis(0, 0);
}
