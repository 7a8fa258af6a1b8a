package org.foxtailplank.wire;

/** Asks how far a node has read the claims stream. */
public record ClaimsPositionRequest() implements PeerMessage {}
