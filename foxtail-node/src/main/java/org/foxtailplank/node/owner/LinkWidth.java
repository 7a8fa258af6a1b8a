package org.foxtailplank.node.owner;

/**
 * How well a node's link bears the work of an owner.
 *
 * <p>Guards against an owner whose link is full as soon as a queue asks for its share. It sends the
 * journal to all other nodes, and orders to all workers: then workers, the store and the VM service
 * seem silent to it, tasks don't start, and nothing is accepted until another node replaces it. A
 * node with a narrow link lets others try first, so that it owns only where none of them can. Where
 * all links are narrow, each waits for as long.
 */
public enum LinkWidth {
    /** It carries the orders and the journal's stream to all other nodes. */
    WIDE(0),

    /** It is full at a busy time. */
    NARROW(500);

    /** With 250 workers and 35 other nodes 7 Mbit/s were too little, and 140 were enough. */
    private static final double WIDE_MBPS = 50;

    private final long mHeadStartMs;

    LinkWidth(long headStartMs) {
        mHeadStartMs = headStartMs;
    }

    /** The width of a link of so many megabits a second. */
    public static LinkWidth of(double mbps) {
        return mbps < WIDE_MBPS ? NARROW : WIDE;
    }

    /**
     * How long a node with this link lets others go ahead with a try, in milliseconds: the longest
     * spread of their tries, the time until they next look, and the try itself.
     */
    long headStartMs() {
        return mHeadStartMs;
    }
}
