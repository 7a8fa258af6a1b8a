package org.foxtailplank.controller.internal.place;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.foxtailplank.controller.internal.act.EpochContext;
import org.foxtailplank.controller.internal.act.RecordWriter;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.Workers;
import org.foxtailplank.settings.Settings;

/**
 * What placement works with.
 *
 * @param settings sizes of VMs and quotas of teams
 * @param policy times and bounds of placement
 * @param log the agreed state
 * @param writer writes records
 * @param workers the workers
 * @param epochs what it takes to hold the shard's epoch
 * @param clock time of leases and reports
 */
public record PlacementContext(
        Supplier<Settings> settings,
        PlacementSettings policy,
        FleetLog log,
        RecordWriter writer,
        Workers workers,
        EpochContext epochs,
        InstantSource clock) {}
