package org.foxtailplank.membership;

/** Liveness of a member as determined by the local failure detector. */
public enum MemberState {
    /** A heartbeat arrived within half of the failure timeout. */
    ALIVE,
    /** Heartbeats are overdue; the member is used only when no live member is available. */
    SUSPECT,
    /** The failure timeout has passed, or the member was replaced. */
    AWAY,
    /** The member announced its shutdown. */
    LEFT;

    /** Returns whether messages may be sent to the member. */
    public boolean isReachable() {
        return this == ALIVE || this == SUSPECT;
    }
}
