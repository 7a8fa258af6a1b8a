package org.foxtailplank.platform;

/** What a process that follows the log is doing. */
public enum FollowMode {
    /** Looks for a state to start from; knows nothing yet. */
    STARTING("The state is not loaded yet"),
    /** Follows the log. */
    FOLLOWING("The log is followed"),
    /** The records that it needs next have expired, and no snapshot covers them yet. */
    BEHIND("Records that were needed have expired and no snapshot is found yet"),
    /** The log is shorter than what is known; the state is kept and will be restored to it. */
    RESTORING("The log has lost records; they are being restored");

    private final String mText;

    FollowMode(String text) {
        mText = text;
    }

    /** What is going on, in words. */
    public String text() {
        return mText;
    }
}
