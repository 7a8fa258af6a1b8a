package org.foxtailplank.internal.membership;

import org.foxtailplank.membership.Incarnation;

/**
 * The newest heartbeat that a node has heard of a member, told on to others.
 *
 * @param incarnation the member
 * @param beat number of the heartbeat
 */
public record HeardBeat(Incarnation incarnation, long beat) {}
