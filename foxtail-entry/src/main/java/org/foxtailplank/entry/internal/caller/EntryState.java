package org.foxtailplank.entry.internal.caller;

import org.foxtailplank.settings.Settings;

/** How the entry is at the moment. */
public interface EntryState {

    /** The configuration in force. */
    Settings settings();

    /** Whether the health answer is to send the balancer away. */
    boolean leaving();
}
