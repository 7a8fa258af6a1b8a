package org.foxtailplank.state;

/**
 * Who asked for a change and why.
 *
 * @param who operator or controller
 * @param why reason in words
 */
public record Author(String who, String why) {}
