package org.foxtailplank.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Explanation.Reason;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/**
 * Explains the state of a VM, a pool or a wave, and what the next decision waits for.
 *
 * @param view the state folded from the log
 * @param observation the controller's observation
 * @param buffer the last buffer plan
 */
public record FleetExplainer(FleetView view, Observation observation, BufferPlan buffer) {

    /** Explains the state of a VM; empty for an unknown one. */
    public Optional<Explanation> vm(VmId id) {
        return view.vm(id).map(v -> new Explanation("vm " + id, reasons(v)));
    }

    private List<Reason> reasons(VmState vm) {
        List<Reason> reasons = new ArrayList<>();
        if (observation.notServing().contains(vm.id())) {
            reasons.add(
                    new Reason(
                            ReasonKind.FAILED,
                            "it does not serve although it should",
                            "an answer of the VM, or a status from the platform"));
        }
        vm.pending()
                .ifPresent(
                        action ->
                                reasons.add(
                                        new Reason(
                                                ReasonKind.ACTION_PENDING,
                                                action + " was intended" + ofWave(vm),
                                                "the platform's confirmation")));
        vm.joining()
                .ifPresent(
                        to ->
                                reasons.add(
                                        new Reason(
                                                ReasonKind.MOVING,
                                                "it leaves pool " + vm.pool() + " for pool " + to,
                                                "the end of its drain")));
        reasons.add(ofPhase(vm));
        return reasons;
    }

    private static String ofWave(VmState vm) {
        return vm.wave().map(w -> " by wave " + w).orElse("");
    }

    private Reason ofPhase(VmState vm) {
        String sizing = wantOf(vm.pool());
        return switch (vm.phase()) {
            case SERVING -> new Reason(ReasonKind.WANTED, "it serves; its pool has " + sizing, "");
            case WAKING -> new Reason(ReasonKind.WANTED, "it wakes; its pool has " + sizing, "");
            case OFF -> new Reason(ReasonKind.NOT_WANTED, "it is off; its pool has " + sizing, "");
            case STOPPING ->
                    new Reason(ReasonKind.ORDERED, "it is drained" + ofWave(vm), "work in flight");
            case RELEASING ->
                    new Reason(ReasonKind.MOVING, "it is released from its pool", "its new pool");
            case BROKEN ->
                    new Reason(
                            ReasonKind.FAILED,
                            "its last action failed, or it was observed down",
                            "the VM to serve again, or an operator");
        };
    }

    private String wantOf(PoolId pool) {
        return Optional.ofNullable(buffer.poolSizings().get(pool))
                .map(PoolSizing::text)
                .orElse("no plan yet");
    }

    /** Explains the size of a pool; empty for an unknown one. */
    public Optional<Explanation> pool(PoolId id) {
        return view.pool(id).map(p -> new Explanation("pool " + id, reasons(p)));
    }

    private List<Reason> reasons(PoolState pool) {
        List<Reason> reasons = new ArrayList<>();
        PoolSizing sizing = buffer.poolSizings().get(pool.id());
        if (sizing == null) {
            return List.of(new Reason(ReasonKind.WANTED, "no plan covers it yet", "the next plan"));
        }
        reasons.add(new Reason(ReasonKind.WANTED, sizing.text(), waitsFor(sizing)));
        if (sizing.missing() > 0) {
            reasons.add(
                    new Reason(
                            ReasonKind.NO_ROOM,
                            "it lacks " + sizing.missing() + " VMs even with all of its VMs on",
                            "spare VMs of other pools for the move cooldown"));
        }
        buffer.moves().stream()
                .filter(m -> m.to().equals(pool.id()) || m.from().equals(pool.id()))
                .forEach(m -> reasons.add(new Reason(ReasonKind.MOVING, m.reason(), "its drain")));
        return reasons;
    }

    private static String waitsFor(PoolSizing sizing) {
        if (sizing.poweredOn() < sizing.desired()) {
            return sizing.desired() - sizing.poweredOn() + " VMs to wake";
        }
        return sizing.poweredOn() > sizing.desired() ? "the surplus to last a few wakes" : "";
    }

    /** Explains the state of a wave; empty for an unknown one. */
    public Optional<Explanation> wave(WaveId id, WavePlanner planner) {
        return view.wave(id).map(w -> new Explanation("wave " + id, reasons(w, planner)));
    }

    private List<Reason> reasons(WaveState wave, WavePlanner planner) {
        List<Reason> reasons = new ArrayList<>();
        String why = wave.lastOrder().who() + ": " + wave.lastOrder().why();
        String waitsFor = wave.phase() == WavePhase.PAUSED ? "an operator to resume it" : "";
        reasons.add(new Reason(ReasonKind.ORDERED, wave.phase() + " by " + why, waitsFor));
        if (wave.phase() == WavePhase.RUNNING) {
            wave.zones().stream().sorted().forEach(z -> reasons.addAll(inZone(wave, z, planner)));
        }
        return reasons;
    }

    private List<Reason> inZone(WaveState wave, ZoneId zone, WavePlanner planner) {
        WaveDecision next = planner.next(view, wave, zone, observation);
        String at = "zone " + zone + ": ";
        if (next instanceof WaveDecision.Go go) {
            List<Reason> reasons = new ArrayList<>();
            String step = at + go.step().width() + " VMs may stop now";
            reasons.add(new Reason(ReasonKind.WAVE, step, "the controller to act"));
            go.step().limits().forEach(l -> reasons.add(ofLimit(at, l)));
            return reasons;
        } else if (next instanceof WaveDecision.Hold hold) {
            return hold.limits().isEmpty()
                    ? List.of(
                            new Reason(
                                    ReasonKind.WAVE,
                                    at + "all steps are in progress",
                                    "their VMs to serve"))
                    : hold.limits().stream().map(l -> ofLimit(at, l)).toList();
        } else if (next instanceof WaveDecision.Pause pause) {
            return List.of(
                    new Reason(ReasonKind.FAILED, at + pause.reason(), "an operator to resume it"));
        } else if (next instanceof WaveDecision.Finished finished) {
            String text = at + "done, " + finished.leftOut().size() + " VMs skipped";
            return List.of(new Reason(ReasonKind.SETTLED, text, ""));
        }
        return List.of(new Reason(ReasonKind.SETTLED, at + "finished", ""));
    }

    private static Reason ofLimit(String at, WaveLimit limit) {
        boolean never = limit.kind() == LimitKind.NEVER;
        String waitsFor =
                switch (limit.kind()) {
                    case BUDGET, RAMP -> "VMs of the wave to come back";
                    case FAILURES -> "failed VMs to serve again";
                    case DEMAND -> "demand to fall, or VMs to wake";
                    case NEVER -> "a change of settings";
                };
        return new Reason(
                never ? ReasonKind.NEVER : ReasonKind.BUDGET, at + limit.text(), waitsFor);
    }
}
