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
 * The dependencies of the placement loop.
 *
 * @param settings settings with VM sizes and team quotas
 * @param policy durations and limits of placement
 * @param log log of the fleet state
 * @param writer writes records
 * @param workers client for the workers
 * @param epochs dependencies of the epoch election
 * @param clock clock for leases and reports
 */
public record PlacementContext(
        Supplier<Settings> settings,
        PlacementSettings policy,
        FleetLog log,
        RecordWriter writer,
        Workers workers,
        EpochContext epochs,
        InstantSource clock) {}
