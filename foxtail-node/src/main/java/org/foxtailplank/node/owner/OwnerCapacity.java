package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.ShareDivision;
import org.foxtailplank.admission.TypicalObjectives;
import org.foxtailplank.node.admission.CapacitySource;
import org.foxtailplank.node.admission.PoolRoom;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.RouteSettings;
import org.foxtailplank.schedule.CapacitySnapshots;

/** Measures an owner's pools that serve queues whose admission is on. */
final class OwnerCapacity implements CapacitySource {
    private final OwnerSession mOwner;
    private final OwnerContext mContext;
    private final CapacitySnapshots mSnapshots;
    private final Supplier<AdmissionSettings> mSettings;
    private final TypicalObjectives mObjectives;

    OwnerCapacity(
            OwnerSession owner,
            OwnerContext context,
            CapacitySnapshots snapshots,
            Supplier<AdmissionSettings> settings,
            TypicalObjectives objectives) {
        mOwner = owner;
        mContext = context;
        mSnapshots = snapshots;
        mSettings = settings;
        mObjectives = objectives;
    }

    @Override
    public List<PoolRoom> measure(long nowMs) {
        AdmissionSettings settings = mSettings.get();
        if (!settings.isOn() || !mOwner.isLoaded()) {
            return List.of();
        }
        return mContext.operator().config().map(c -> measure(settings, c, nowMs)).orElse(List.of());
    }

    private List<PoolRoom> measure(AdmissionSettings settings, FleetConfig config, long nowMs) {
        Map<String, Long> objectivesMs = new HashMap<>();
        for (RouteSettings r : config.routes()) {
            if (settings.mode(r.name()) != AdmissionMode.OFF) {
                // The objective of a job without run time, until the first one is accepted.
                objectivesMs.putIfAbsent(
                        r.service(),
                        mObjectives.objectiveMs(r.service()).orElse(r.policy().sloMs()));
            }
        }
        List<PoolRoom> rooms = new ArrayList<>();
        for (QueueCapacity c :
                mSnapshots.of(objectivesMs.keySet(), config, nowMs, mContext.clock().wallMs())) {
            rooms.add(new PoolRoom(c, ShareDivision.room(c, objectivesMs.get(c.service()))));
        }
        return rooms;
    }
}
