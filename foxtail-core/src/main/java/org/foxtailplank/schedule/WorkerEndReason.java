package org.foxtailplank.schedule;

/** How the owner learned that an incarnation of a worker has ended. */
public enum WorkerEndReason {
    OTHER_INCARNATION("another incarnation answered"),
    NOT_LISTED("the VM list does not contain its incarnation"),
    MOVED_OR_REBOOTED("its VM was moved or rebooted");

    private final String mText;

    WorkerEndReason(String text) {
        mText = text;
    }

    /** The reason in words, for the log. */
    @Override
    public String toString() {
        return mText;
    }
}
