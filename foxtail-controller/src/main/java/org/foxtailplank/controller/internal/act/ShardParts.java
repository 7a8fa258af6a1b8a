package org.foxtailplank.controller.internal.act;

import java.time.InstantSource;
import org.foxtailplank.controller.internal.plan.ShardPlanner;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.Liveness;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.VmDirectory;

/**
 * What one shard works with.
 *
 * @param self this node
 * @param log the agreed state
 * @param writer writes records
 * @param epochs when to try for an epoch
 * @param liveness how long other nodes have been silent
 * @param planner what to do next; of this shard alone
 * @param watch what is seen beside the log
 * @param directory the platform's lagging list
 * @param runner takes the steps of pending intents; of this shard alone
 * @param clock decides only when to look and to try
 */
public record ShardParts(
        NodeId self,
        FleetLog log,
        RecordWriter writer,
        EpochPolicy epochs,
        Liveness liveness,
        ShardPlanner planner,
        FleetWatch watch,
        VmDirectory directory,
        VmRunner runner,
        InstantSource clock) {}
