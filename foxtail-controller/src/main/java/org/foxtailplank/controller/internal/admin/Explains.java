package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailplank.controller.internal.act.FleetWatch;
import org.foxtailplank.controller.internal.place.JobExplainer;
import org.foxtailplank.controller.internal.plan.Sight;
import org.foxtailplank.fleet.BufferHistory;
import org.foxtailplank.fleet.BufferPlan;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.fleet.FleetExplainer;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.WaveLimit;
import org.foxtailplank.fleet.WavePlan;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.fleet.WaveStep;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.state.Author;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** The calls that say why something is where it is, and what a wave would do. */
final class Explains {
    private static final WaveId NO_WAVE = WaveId.of("plan");

    private final FleetLog mLog;
    private final Supplier<Settings> mSettings;
    private final FleetWatch mWatch;
    private final InstantSource mClock;
    private final WavePlanner mWaves = WavePlanner.byRack();

    Explains(FleetLog log, Supplier<Settings> settings, FleetWatch watch, InstantSource clock) {
        mLog = log;
        mSettings = settings;
        mWatch = watch;
        mClock = clock;
    }

    /**
     * The steps of a wave, if nothing fails meanwhile.
     *
     * @param vms VMs in all steps
     * @param steps the steps in order
     * @param blocked what keeps the rest of the VMs from ever being stopped
     */
    record PlanView(int vms, List<StepView> steps, List<String> blocked) {}

    /**
     * VMs that are stopped at once.
     *
     * @param width their number
     * @param vms the VMs
     * @param racks racks that they stand in
     * @param limits what keeps the step from being wider
     */
    record StepView(int width, List<String> vms, List<String> racks, List<String> limits) {}

    List<Endpoint> endpoints() {
        return List.of(
                Endpoint.of("GET", "/v1/explain/*/*", Role.READER, this::explain),
                Endpoint.of("POST", "/v1/waves/plan", Role.READER, this::plan));
    }

    private CompletionStage<Answer> explain(Call call) {
        String kind = call.names().get(0);
        String name = call.names().get(1);
        return mLog.read(
                view ->
                        explain(view, kind, name)
                                .map(Answer::ok)
                                .orElseGet(() -> Answer.problem(Problem.unexplained(kind, name))));
    }

    private Optional<Explanation> explain(FleetView view, String kind, String name) {
        return switch (kind) {
            case "vm" -> fleet(view).vm(VmId.of(name));
            case "pool" -> fleet(view).pool(PoolId.of(name));
            case "wave" -> fleet(view).wave(WaveId.of(name), mWaves);
            case "job" -> jobs(view).job(JobId.of(name));
            case "worker" -> jobs(view).worker(VmId.of(name));
            default -> Optional.empty();
        };
    }

    private JobExplainer jobs(FleetView view) {
        return new JobExplainer(view, mSettings.get(), mClock.millis());
    }

    private FleetExplainer fleet(FleetView view) {
        Observation seen = seen(view);
        BufferPlan buffer =
                BufferPlanner.byDemand(mSettings.get().fleet())
                        .plan(view, seen, BufferHistory.none(), mClock.millis());
        return new FleetExplainer(view, seen, buffer);
    }

    private Observation seen(FleetView view) {
        return mWatch.observe(view).map(Sight::seen).orElseGet(Observation::none);
    }

    private CompletionStage<Answer> plan(Call call) throws Call.BadBodyException {
        Bodies.PlanBody body = call.read(Bodies.PlanBody.class);
        Set<ZoneId> zones =
                body.zones().stream().map(ZoneId::of).collect(Collectors.toUnmodifiableSet());
        Optional<ZoneId> strange =
                zones.stream().filter(z -> !mSettings.get().zones().containsKey(z)).findFirst();
        if (strange.isPresent()) {
            return completedFuture(Answer.problem(Problem.unknownZone(strange.get())));
        }
        Set<PoolId> pools =
                body.pools().stream().map(PoolId::of).collect(Collectors.toUnmodifiableSet());
        return mLog.read(
                view -> Answer.ok(view(mWaves.plan(view, wave(view, zones, pools), seen(view)))));
    }

    private static WaveState wave(FleetView view, Set<ZoneId> zones, Set<PoolId> pools) {
        return new WaveState(
                NO_WAVE,
                zones,
                pools,
                Set.of(),
                WavePhase.RUNNING,
                new Author("plan", "plan"),
                view.nextOffset(),
                view.nextOffset());
    }

    private static PlanView view(WavePlan plan) {
        return new PlanView(
                plan.vms(),
                plan.steps().stream().map(Explains::view).toList(),
                plan.blocked().stream().map(WaveLimit::text).toList());
    }

    private static StepView view(WaveStep step) {
        return new StepView(
                step.width(),
                step.vms().stream().map(VmId::value).toList(),
                step.racks().stream().map(r -> r.value()).toList(),
                step.limits().stream().map(WaveLimit::text).toList());
    }
}
