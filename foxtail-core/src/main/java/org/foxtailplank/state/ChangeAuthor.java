package org.foxtailplank.state;

/**
 * The originator of a change and the reason for it.
 *
 * @param who operator or controller
 * @param why reason, as free text
 */
public record ChangeAuthor(String who, String why) {}
