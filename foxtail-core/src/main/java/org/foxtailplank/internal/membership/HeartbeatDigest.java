package org.foxtailplank.internal.membership;

/**
 * Latest heartbeat known of a member, gossiped to other members in six bytes.
 *
 * @param tag tag of the member's incarnation
 * @param sequence low 16 bits of the heartbeat's sequence number
 */
public record HeartbeatDigest(int tag, short sequence) {

    /**
     * Returns whether a sequence number is newer than another one of the same member.
     *
     * <p>The comparison allows for wraparound: a member is removed from the table long before half
     * of the range has passed.
     */
    public static boolean isNewer(short sequence, short other) {
        return (short) (sequence - other) > 0;
    }
}
