package org.foxtailplank.settings;

/** What the administration API lets the holder of a token do; each role includes those before. */
public enum Role {
    READER,
    SUBMITTER,
    OPERATOR;

    /** Whether this role may do what the other one may. */
    public boolean includes(Role other) {
        return ordinal() >= other.ordinal();
    }
}
