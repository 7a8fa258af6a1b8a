package org.foxtailplank.internal.membership;

/**
 * The newest heartbeat that a node has heard of a member, told on to others in six bytes.
 *
 * @param tag tag of the member's incarnation
 * @param beat low bits of the heartbeat's number
 */
public record BeatNews(int tag, short beat) {

    /**
     * Whether this is newer than another beat of the same member.
     *
     * <p>The numbers wrap round; a member is forgotten long before half of their range has passed.
     */
    public static boolean isNewer(short beat, short than) {
        return (short) (beat - than) > 0;
    }
}
