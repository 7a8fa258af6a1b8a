package org.foxtailplank.entry.internal.caller;

import org.foxtailplank.settings.Settings;

/** The current state of the entry. */
public interface EntryState {

    /** Returns the configuration in force. */
    Settings settings();

    /** Whether health checks must fail, so that the load balancer sends no more requests. */
    boolean leaving();
}
