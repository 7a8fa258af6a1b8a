package org.foxtailplank.schedule;

/** How the owner learned that an incarnation of a worker has ended. */
public enum WorkerEndReason {
    OTHER_INCARNATION("another incarnation answered", false),
    STARTED_AGAIN("it has started again under its ID", false),
    NOT_LISTED("the VM list does not contain its incarnation", false),
    MOVED_OR_REBOOTED("its VM was moved or rebooted", true);

    private final String mText;
    private final boolean mOrdered;

    WorkerEndReason(String text, boolean ordered) {
        mText = text;
        mOrdered = ordered;
    }

    /** Whether this owner ended the incarnation. */
    boolean isOrdered() {
        return mOrdered;
    }

    /** The reason in words, for the log. */
    @Override
    public String toString() {
        return mText;
    }
}
