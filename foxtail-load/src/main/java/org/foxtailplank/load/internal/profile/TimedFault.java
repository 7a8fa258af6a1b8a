package org.foxtailplank.load.internal.profile;

/**
 * A fault to be switched on a stand-in at a set time of the run.
 *
 * @param atMs time from the start of the run
 * @param method HTTP method, {@code POST} to add and {@code DELETE} to clear
 * @param uri fault address of the stand-in
 * @param body JSON body; empty for none
 */
public record TimedFault(long atMs, String method, String uri, String body) {

    public TimedFault {
        body = body == null ? "" : body;
    }
}
