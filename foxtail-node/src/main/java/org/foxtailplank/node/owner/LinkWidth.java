package org.foxtailplank.node.owner;

/** How well a node's link bears the work of an owner. */
public enum LinkWidth {
    /** It carries the orders and the journal's stream to all other nodes. */
    WIDE(0),

    /** Others own rather. */
    NARROW(0);

    private static final double WIDE_MBPS = 50;

    private final long mHeadStartMs;

    LinkWidth(long headStartMs) {
        mHeadStartMs = headStartMs;
    }

    /** The width of a link of so many megabits a second. */
    public static LinkWidth of(double mbps) {
        return mbps < WIDE_MBPS ? NARROW : WIDE;
    }

    /** How long a node with this link lets others go ahead with a try, in milliseconds. */
    long headStartMs() {
        return mHeadStartMs;
    }
}
