package org.foxtailplank.membership;

/** Whether a member is there, as far as this process can tell. */
public enum MemberState {
    /** Heard of within half the time of silence. */
    ALIVE,
    /** Silent for a while; still asked when there is nobody better. */
    SUSPECT,
    /** Silent for too long, cut off, or replaced. */
    AWAY,
    /** It has said that it leaves. */
    LEFT;

    /** Whether messages may still be sent to it. */
    public boolean isReachable() {
        return this == ALIVE || this == SUSPECT;
    }
}
