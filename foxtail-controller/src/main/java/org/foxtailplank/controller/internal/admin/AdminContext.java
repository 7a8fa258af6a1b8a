package org.foxtailplank.controller.internal.admin;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.foxtailplank.controller.ConfigurationChecker;
import org.foxtailplank.controller.internal.PeerView;
import org.foxtailplank.controller.internal.act.FleetMonitor;
import org.foxtailplank.controller.internal.act.RecordWriter;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.settings.Settings;

/**
 * The dependencies of the administration API.
 *
 * @param self this node
 * @param log log of the fleet state
 * @param writer writes records
 * @param settings the active settings
 * @param peers liveness and status of the other nodes
 * @param monitor compares the platform's VM list with the log
 * @param checker validates configurations before they are published
 * @param clock clock for explanations
 */
public record AdminContext(
        NodeId self,
        FleetLog log,
        RecordWriter writer,
        Supplier<Settings> settings,
        PeerView peers,
        FleetMonitor monitor,
        ConfigurationChecker checker,
        InstantSource clock) {}
