package org.foxtailplank.settings;

import java.net.InetSocketAddress;
import org.foxtailplank.id.ZoneId;

/**
 * One of the system's own processes.
 *
 * @param zone availability zone it stands in
 * @param callers address for callers
 * @param peers address for the other processes of the system
 * @param admin address of the administration API, health and metrics
 */
public record NodeSettings(
        ZoneId zone, InetSocketAddress callers, InetSocketAddress peers, InetSocketAddress admin) {}
