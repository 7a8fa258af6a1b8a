package org.foxtailplank.wire;

/**
 * What became of a request that was handed over.
 *
 * @param answer the answer for the caller
 */
public record RequestHandoverResult(CallerAnswer answer) implements PeerMessage {}
