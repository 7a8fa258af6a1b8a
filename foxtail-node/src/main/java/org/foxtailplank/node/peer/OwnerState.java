package org.foxtailplank.node.peer;

/** State of the owner as seen over the peer connection, with the timeout until a take-over. */
public enum OwnerState {
    /**
     * It sends heartbeats. It is replaced once two of its periodic records are missing from the
     * journal, which means that it has lost the store.
     */
    STREAMING(1000),

    /** Heartbeats and one periodic record are missing, as after a power loss. */
    SILENT(750),

    /**
     * Its address refuses connections, as after a killed process. A network partition may refuse
     * connections too, so that one periodic record must be missing as well; otherwise both sides of
     * the partition would take ownership from each other in turn.
     */
    REFUSED(450),

    /** The process at its address doesn't own: it has resigned or was restarted. */
    GONE(0);

    private final long mTakeOverTimeoutMs;

    OwnerState(long takeOverTimeoutMs) {
        mTakeOverTimeoutMs = takeOverTimeoutMs;
    }

    /** Returns the age of the owner's last record at which it is replaced, in milliseconds. */
    public long takeOverTimeoutMs() {
        return mTakeOverTimeoutMs;
    }
}
