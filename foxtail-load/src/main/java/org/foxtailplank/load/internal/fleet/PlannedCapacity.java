package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.BufferHistory;
import org.foxtailplank.fleet.BufferPlan;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.VmMove;
import org.foxtailplank.fleet.WaveDecision;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveFinished;
import org.foxtailplank.state.WaveOrder;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** The decisions of foxtailplank. */
final class PlannedCapacity implements CapacityPolicy {

    private final WavePlanner mWaves = WavePlanner.byRack();
    private final BufferPlanner mBuffer;
    private BufferHistory mHistory = BufferHistory.none();

    PlannedCapacity(FleetSettings settings) {
        mBuffer = BufferPlanner.byDemand(settings);
    }

    @Override
    public String name() {
        return "foxtailplank";
    }

    @Override
    public List<Change> waves(FleetView view, Observation seen, long nowMs) {
        List<Change> changes = new ArrayList<>();
        for (WaveState wave : view.waves()) {
            if (wave.phase() != WavePhase.RUNNING) {
                continue;
            }
            for (ZoneId zone : wave.zones().stream().sorted().toList()) {
                add(changes, view, wave, zone, mWaves.next(view, wave, zone, seen));
            }
        }
        return changes;
    }

    private static void add(
            List<Change> changes,
            FleetView view,
            WaveState wave,
            ZoneId zone,
            WaveDecision decision) {
        if (decision instanceof WaveDecision.Go go) {
            for (VmId vm : go.step().vms()) {
                changes.add(Changes.intend(view, vm, VmAction.REBOOT, Optional.of(wave.id())));
            }
        } else if (decision instanceof WaveDecision.Pause) {
            changes.add(new WaveControlled(wave.id(), WaveOrder.PAUSE, Changes.AUTHOR));
        } else if (decision instanceof WaveDecision.Finished) {
            changes.add(new WaveFinished(wave.id(), zone));
        }
    }

    @Override
    public List<Change> buffer(FleetView view, Observation seen, long nowMs) {
        BufferPlan plan = mBuffer.plan(view, seen, mHistory, nowMs);
        mHistory = plan.history();
        List<Change> changes = new ArrayList<>();
        for (VmId vm : plan.wake()) {
            changes.add(Changes.intend(view, vm, VmAction.WAKE, Optional.empty()));
        }
        for (VmId vm : plan.sleep()) {
            changes.add(Changes.intend(view, vm, VmAction.SLEEP, Optional.empty()));
        }
        for (VmMove move : plan.moves()) {
            changes.add(new VmReleased(move.vm(), move.from(), move.to(), Changes.AUTHOR));
        }
        return changes;
    }
}
