package org.foxtailplank.internal.wave;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.WaveDecision;
import org.foxtailplank.fleet.WaveLimit;
import org.foxtailplank.fleet.WavePlan;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.fleet.WaveStep;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** Plans waves rack by rack, anew at each step. */
public final class RackWavePlanner implements WavePlanner {

    /** Fewest failures that pause a wave; a single one is an ordinary day's. */
    private static final int FEWEST_FAILURES = 2;

    /** Share of touched VMs whose failure pauses a wave; three times what an ordinary day loses. */
    private static final double FAILED_SHARE = 0.05;

    /** Share of the wave's VMs in a zone that it may leave out because they do not serve. */
    private static final double LEFT_OUT_SHARE = 0.05;

    /** How many times the VMs that came back well may be stopped at once. */
    private static final int RAMP_FACTOR = 2;

    @Override
    public WaveDecision next(FleetView view, WaveState wave, ZoneId zone, Observation seen) {
        boolean here = wave.zones().contains(zone) && !wave.finished().contains(zone);
        if (wave.phase() != WavePhase.RUNNING || !here) {
            return new WaveDecision.Idle();
        }
        WaveScope scope = WaveScope.of(view, wave, Set.of(zone), seen);
        if (isCorrelated(scope)) {
            return pause(scope);
        }
        if (scope.waiting().isEmpty()) {
            return atEnd(scope);
        }
        Budgets budgets = Budgets.of(view, seen);
        StepChooser chooser =
                StepChooser.choose(budgets, scope.waiting(), widest(scope) - scope.underWay());
        return chooser.chosen().isEmpty()
                ? new WaveDecision.Hold(chooser.limits())
                : new WaveDecision.Go(chooser.step());
    }

    /**
     * Guards against a bad image or firmware: it shows as VMs that fail after their step. The wave
     * starts with one rack and at most doubles with the VMs that came back, so few are hit before
     * their share says so.
     */
    private static int widest(WaveScope scope) {
        int rack = scope.waiting().values().stream().mapToInt(List::size).max().orElse(1);
        return Math.max(rack, RAMP_FACTOR * scope.maintained());
    }

    private static boolean isCorrelated(WaveScope scope) {
        int failed = scope.failures();
        return failed >= FEWEST_FAILURES && failed >= FAILED_SHARE * scope.touchedSinceOrder();
    }

    private static WaveDecision pause(WaveScope scope) {
        List<VmId> failed = scope.failed();
        String reason =
                String.format(
                        "%d of the last %d VMs failed after their step: %s",
                        failed.size(),
                        scope.touchedSinceOrder(),
                        failed.stream()
                                .limit(5)
                                .map(VmId::value)
                                .collect(Collectors.joining(", ")));
        return new WaveDecision.Pause(reason, List.copyOf(failed));
    }

    /**
     * Guards against a report that calls every VM silent, as in a cut-off zone: a wave ends over
     * few dead VMs, and waits where they are many.
     */
    private static WaveDecision atEnd(WaveScope scope) {
        boolean few = scope.silent() <= Math.max(1, LEFT_OUT_SHARE * scope.size());
        if (scope.underWay() > 0 || !few) {
            return new WaveDecision.Hold(List.of());
        }
        return new WaveDecision.Finished(List.copyOf(scope.leftOut()));
    }

    @Override
    public WavePlan plan(FleetView view, WaveState wave, Observation seen) {
        WaveScope scope = WaveScope.of(view, wave, wave.zones(), seen);
        Budgets budgets = Budgets.of(view, seen);
        List<WaveStep> steps = new ArrayList<>();
        List<WaveLimit> blocked = List.of();
        int done = scope.maintained();
        while (!scope.waiting().isEmpty()) {
            int rack = scope.waiting().values().stream().mapToInt(List::size).max().orElse(1);
            int widest = Math.max(rack * wave.zones().size(), RAMP_FACTOR * done);
            StepChooser chooser = StepChooser.choose(budgets, scope.waiting(), widest);
            if (chooser.chosen().isEmpty()) {
                blocked = chooser.limits();
                break;
            }
            steps.add(chooser.step());
            done += chooser.chosen().size();
            for (VmState vm : chooser.chosen()) {
                budgets.of(vm.pool()).restart(vm.rack());
            }
        }
        return new WavePlan(steps, blocked);
    }
}
