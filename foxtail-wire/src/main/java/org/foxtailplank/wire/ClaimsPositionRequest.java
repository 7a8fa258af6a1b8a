package org.foxtailplank.wire;

/** Requests the read position of a node in the claims stream. */
public record ClaimsPositionRequest() implements PeerMessage {}
