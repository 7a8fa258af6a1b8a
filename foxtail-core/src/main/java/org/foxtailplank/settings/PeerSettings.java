package org.foxtailplank.settings;

import java.time.Duration;

/**
 * How the system's processes talk to each other.
 *
 * @param key shared key by which they authenticate each other
 * @param heartbeat time between heartbeats
 * @param silence time without a heartbeat after which a peer counts as away
 */
public record PeerSettings(String key, Duration heartbeat, Duration silence) {}
