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

/** Plans waves rack by rack; replans before each step. */
public final class RackWavePlanner implements WavePlanner {

    /** Minimum number of failures that pause a wave; a single one may be unrelated. */
    private static final int MIN_FAILURES = 2;

    /** Share of maintained VMs whose failure pauses a wave. */
    private static final double MAX_FAILED_SHARE = 0.05;

    /** Share of the VMs in a zone that a wave may skip because they do not serve. */
    private static final double MAX_SKIPPED_SHARE = 0.05;

    /** Maximum step width as a multiple of the VMs that were maintained successfully. */
    private static final int RAMP_FACTOR = 2;

    @Override
    public WaveDecision next(FleetView view, WaveState wave, ZoneId zone, Observation observation) {
        boolean here = wave.zones().contains(zone) && !wave.finished().contains(zone);
        if (wave.phase() != WavePhase.RUNNING || !here) {
            return new WaveDecision.Idle();
        }
        WaveScope scope = WaveScope.of(view, wave, Set.of(zone), observation);
        if (hasCorrelatedFailures(scope)) {
            return pause(scope);
        }
        if (scope.waiting().isEmpty()) {
            return finish(scope);
        }
        AvailabilityBudgets budgets = AvailabilityBudgets.of(view, observation);
        StepSelector chooser =
                StepSelector.select(budgets, scope.waiting(), maxWidth(scope) - scope.inProgress());
        return chooser.selected().isEmpty()
                ? new WaveDecision.Hold(chooser.limits())
                : new WaveDecision.Go(chooser.step());
    }

    /**
     * Returns the maximum width of the next step. Guards against a bad image or firmware: the first
     * step is limited to one rack and later ones to twice the maintained VMs, so few VMs are
     * affected before the failures pause the wave.
     */
    private static int maxWidth(WaveScope scope) {
        int rack = scope.waiting().values().stream().mapToInt(List::size).max().orElse(1);
        return Math.max(rack, RAMP_FACTOR * scope.maintained());
    }

    private static boolean hasCorrelatedFailures(WaveScope scope) {
        int failed = scope.failures();
        return failed >= MIN_FAILURES && failed >= MAX_FAILED_SHARE * scope.touchedSinceOrder();
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
     * Finishes the wave unless too many VMs are silent. Guards against a report from a cut-off
     * zone, which lists every VM as silent.
     */
    private static WaveDecision finish(WaveScope scope) {
        boolean few = scope.silent() <= Math.max(1, MAX_SKIPPED_SHARE * scope.size());
        if (scope.inProgress() > 0 || !few) {
            return new WaveDecision.Hold(List.of());
        }
        return new WaveDecision.Finished(List.copyOf(scope.skipped()));
    }

    @Override
    public WavePlan plan(FleetView view, WaveState wave, Observation observation) {
        WaveScope scope = WaveScope.of(view, wave, wave.zones(), observation);
        AvailabilityBudgets budgets = AvailabilityBudgets.of(view, observation);
        List<WaveStep> steps = new ArrayList<>();
        List<WaveLimit> blocked = List.of();
        int done = scope.maintained();
        while (!scope.waiting().isEmpty()) {
            int rack = scope.waiting().values().stream().mapToInt(List::size).max().orElse(1);
            int widest = Math.max(rack * wave.zones().size(), RAMP_FACTOR * done);
            StepSelector chooser = StepSelector.select(budgets, scope.waiting(), widest);
            if (chooser.selected().isEmpty()) {
                blocked = chooser.limits();
                break;
            }
            steps.add(chooser.step());
            done += chooser.selected().size();
            for (VmState vm : chooser.selected()) {
                budgets.of(vm.pool()).restart(vm.rack());
            }
        }
        return new WavePlan(steps, blocked);
    }
}
