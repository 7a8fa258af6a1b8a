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
 * What the administration API works with.
 *
 * @param self this node
 * @param log the agreed state
 * @param writer writes records
 * @param settings the settings in force
 * @param peers what is heard of the other nodes
 * @param monitor what the platform's list shows
 * @param checker checks configurations before they are published
 * @param clock time for explanations
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
