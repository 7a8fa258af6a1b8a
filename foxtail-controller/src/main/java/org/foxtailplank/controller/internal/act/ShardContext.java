package org.foxtailplank.controller.internal.act;

import java.time.InstantSource;
import org.foxtailplank.controller.internal.plan.ShardPlanner;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.VmDirectory;

/**
 * What one shard works with.
 *
 * @param log the agreed state
 * @param writer writes records
 * @param epochs what it takes to hold the shard's epoch
 * @param planner what to do next; of this shard alone
 * @param monitor what is seen beside the log
 * @param directory the platform's lagging list
 * @param executor takes the steps of pending intents; of this shard alone
 * @param clock decides only when to look
 */
public record ShardContext(
        FleetLog log,
        RecordWriter writer,
        EpochContext epochs,
        ShardPlanner planner,
        FleetMonitor monitor,
        VmDirectory directory,
        VmStepExecutor executor,
        InstantSource clock) {}
