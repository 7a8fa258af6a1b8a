package org.foxtailplank.controller.internal.act;

import java.time.InstantSource;
import org.foxtailplank.controller.internal.plan.ShardPlanner;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.Liveness;
import org.foxtailplank.platform.FleetLog;

/**
 * What the shards of one controller share.
 *
 * @param self this node
 * @param log the agreed state
 * @param writer writes records
 * @param epochs when to try for an epoch
 * @param liveness how long other nodes have been silent
 * @param planner what to do next
 * @param runner takes the steps of pending intents
 * @param clock decides only when to look and to try
 */
public record ShardParts(
        NodeId self,
        FleetLog log,
        RecordWriter writer,
        EpochPolicy epochs,
        Liveness liveness,
        ShardPlanner planner,
        VmRunner runner,
        InstantSource clock) {}
