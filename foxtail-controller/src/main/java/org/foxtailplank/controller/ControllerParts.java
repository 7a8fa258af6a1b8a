package org.foxtailplank.controller;

import java.net.InetSocketAddress;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.Liveness;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.VmActions;
import org.foxtailplank.platform.VmDirectory;
import org.foxtailplank.platform.Workers;
import org.foxtailplank.settings.Settings;

/**
 * What a controller works with.
 *
 * @param self this node
 * @param admin address of the administration API; port 0 lets the system choose
 * @param settings the settings
 * @param log the agreed state
 * @param directory the platform's knowledge of VMs
 * @param actions actions on VMs
 * @param workers the workers
 * @param liveness how long other nodes have been silent
 * @param checker checks configurations before they are published
 */
public record ControllerParts(
        NodeId self,
        InetSocketAddress admin,
        Settings settings,
        FleetLog log,
        VmDirectory directory,
        VmActions actions,
        Workers workers,
        Liveness liveness,
        ConfigurationChecker checker) {}
