package org.foxtailplank.wire;

/**
 * Reply to a {@link RequestHandover}.
 *
 * @param answer response for the caller
 */
public record RequestHandoverResult(CallerAnswer answer) implements PeerMessage {}
