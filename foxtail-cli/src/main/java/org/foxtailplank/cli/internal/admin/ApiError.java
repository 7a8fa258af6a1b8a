package org.foxtailplank.cli.internal.admin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An error answer of the administration API.
 *
 * @param error what went wrong
 * @param current the object as it is now, where a change met another one; may be null
 */
record ApiError(Detail error, JsonNode current) {
    /**
     * What went wrong.
     *
     * @param code short name
     * @param what what happened
     * @param why why it happened
     * @param todo what to do about it
     */
    record Detail(String code, String what, String why, String todo) {}
}
