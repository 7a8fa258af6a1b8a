package org.foxtailplank.node.peer;

/** What a node's connection to the owner says of it, and how patient that makes the node. */
public enum OwnerState {
    /**
     * It sends heartbeats. It is replaced when its last stored record is older than this: two of
     * its signs in the journal are missing, so that the store is lost to it.
     */
    STREAMING(1000),

    /** Nothing is heard of it, as after a power loss: one sign is missing, and heartbeats too. */
    SILENT(750),

    /**
     * Its address refuses connections: the process was killed. A cut may refuse connections too, so
     * that one sign in the journal must be missing; without that, two parts of a system would take
     * the place from each other again and again.
     */
    REFUSED(450),

    /** A process at its address says that it doesn't own: it has left, or was started again. */
    GONE(0);

    private final long mPatienceMs;

    OwnerState(long patienceMs) {
        mPatienceMs = patienceMs;
    }

    /** Age of the last sign of the owner's from which on it is replaced, in milliseconds. */
    public long patienceMs() {
        return mPatienceMs;
    }
}
