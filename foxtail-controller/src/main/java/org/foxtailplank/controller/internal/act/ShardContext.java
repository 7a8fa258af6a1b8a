package org.foxtailplank.controller.internal.act;

import java.time.InstantSource;
import org.foxtailplank.controller.internal.plan.ShardPlanner;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.VmDirectory;

/**
 * The dependencies of a shard loop.
 *
 * @param log log of the fleet state
 * @param writer writes records
 * @param epochs dependencies of the epoch election
 * @param planner plans changes; not shared between shards
 * @param monitor compares the platform's VM list with the log
 * @param directory the platform's VM directory
 * @param executor executes the steps of pending intents; not shared between shards
 * @param clock used only for scheduling
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
