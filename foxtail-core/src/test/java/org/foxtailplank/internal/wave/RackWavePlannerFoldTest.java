package org.foxtailplank.internal.wave;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.WaveDecision;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmLocation;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.WaveStarted;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the wave planner on {@link FleetState}: both agree on allowed stops and on failures. */
public class RackWavePlannerFoldTest {

    private static final ChangeAuthor AUTHOR = new ChangeAuthor("test", "test");
    private static final ZoneId ZONE = ZoneId.of("a");
    private static final WaveId WAVE = WaveId.of("w");

    private final WavePlanner mPlanner = WavePlanner.byRack();
    private FleetState mState;

    @BeforeMethod
    public void publish() {
        mState = new FleetState();
        Map<VmId, VmLocation> locations = new HashMap<>();
        PoolId pool = PoolId.of("claims");
        ServiceId service = ServiceId.of("claims");
        for (int i = 0; i < 20; i++) {
            locations.put(VmId.of("vm" + i), new VmLocation(ZONE, RackId.of("r" + i % 10), pool));
        }
        FleetTopology topology =
                new FleetTopology(
                        locations,
                        Map.of(pool, new PoolDefinition(Optional.of(service), 18, 0)),
                        Map.of(service, 9));
        apply(
                new ConfigurationPublished("{}", Map.of(), topology, AUTHOR),
                Map.of(ObjectKey.configuration(), 0L));
        locations
                .keySet()
                .forEach(vm -> apply(new VmObserved(vm, 0, VmHealth.UP, AUTHOR), Map.of()));
        apply(new WaveStarted(WAVE, Set.of(ZONE), Set.of(), AUTHOR), Map.of());
    }

    private void apply(Change change, Map<ObjectKey, Long> expects) {
        long at = mState.nextOffset();
        LogRecord record =
                new LogRecord(
                        RecordId.of("r" + at), NodeId.of("n"), Optional.empty(), expects, change);
        assertEquals(
                mState.apply(at, record.withBasis(mState.basis())),
                Verdict.APPLIED,
                change.toString());
    }

    private WaveDecision next() {
        return mPlanner.next(mState, mState.wave(WAVE).orElseThrow(), ZONE, Observation.none());
    }

    private void confirm(VmId vm, ActionOutcome outcome) {
        long generation = mState.vm(vm).orElseThrow().generation();
        apply(new VmActionConfirmed(vm, generation, outcome), Map.of());
    }

    private List<VmId> intendStep() {
        List<VmId> step = ((WaveDecision.Go) next()).step().vms();
        for (VmId vm : step) {
            long generation = mState.vm(vm).orElseThrow().generation() + 1;
            apply(
                    new VmActionIntended(
                            vm, VmAction.REBOOT, generation, Optional.of(WAVE), AUTHOR),
                    Map.of());
        }
        return step;
    }

    @Test
    public void foldAppliesEveryPlannedStepUntilTheWaveEnds() {
        int steps = 0;
        while (!(next() instanceof WaveDecision.Finished)) {
            intendStep().forEach(vm -> confirm(vm, ActionOutcome.DONE));
            assertTrue(++steps < 20);
        }
    }

    @Test
    public void failedRebootsInTheLogPauseTheWave() {
        // Guards against a restarted controller that misses failures which only the log shows.
        intendStep().forEach(vm -> confirm(vm, ActionOutcome.FAILED));

        assertTrue(next() instanceof WaveDecision.Pause, next().toString());
    }

    @Test
    public void unrelatedFailuresDoNotPauseTheWave() {
        apply(new VmObserved(VmId.of("vm1"), 0, VmHealth.DOWN, AUTHOR), Map.of());
        apply(new VmObserved(VmId.of("vm11"), 0, VmHealth.DOWN, AUTHOR), Map.of());

        assertTrue(next() instanceof WaveDecision.Go);
    }
}
