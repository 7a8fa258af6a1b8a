package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailplank.controller.internal.act.FleetMonitor;
import org.foxtailplank.controller.internal.place.JobExplainer;
import org.foxtailplank.controller.internal.plan.PlatformObservation;
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
final class ExplainEndpoints {
    private static final WaveId PLANNED_WAVE = WaveId.of("plan");

    private final FleetLog mLog;
    private final Supplier<Settings> mSettings;
    private final FleetMonitor mMonitor;
    private final InstantSource mClock;
    private final WavePlanner mWaves = WavePlanner.byRack();

    ExplainEndpoints(
            FleetLog log, Supplier<Settings> settings, FleetMonitor watch, InstantSource clock) {
        mLog = log;
        mSettings = settings;
        mMonitor = watch;
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
                Endpoint.of("POST", "/v1/waves/plan", Role.READER, this::planWave));
    }

    private CompletionStage<ApiResponse> explain(ApiRequest call) {
        String kind = call.pathParameters().get(0);
        String name = call.pathParameters().get(1);
        return mLog.read(
                view ->
                        explain(view, kind, name)
                                .map(ApiResponse::ok)
                                .orElseGet(
                                        () ->
                                                ApiResponse.problem(
                                                        Problem.explanationNotFound(kind, name))));
    }

    private Optional<Explanation> explain(FleetView view, String kind, String name) {
        return switch (kind) {
            case "vm" -> fleetExplainer(view).vm(VmId.of(name));
            case "pool" -> fleetExplainer(view).pool(PoolId.of(name));
            case "wave" -> fleetExplainer(view).wave(WaveId.of(name), mWaves);
            case "job" -> jobExplainer(view).job(JobId.of(name));
            case "worker" -> jobExplainer(view).worker(VmId.of(name));
            default -> Optional.empty();
        };
    }

    private JobExplainer jobExplainer(FleetView view) {
        return new JobExplainer(view, mSettings.get(), mClock.millis());
    }

    private FleetExplainer fleetExplainer(FleetView view) {
        Observation seen = observation(view);
        BufferPlan buffer =
                BufferPlanner.byDemand(mSettings.get().fleet())
                        .plan(view, seen, BufferHistory.none(), mClock.millis());
        return new FleetExplainer(view, seen, buffer);
    }

    private Observation observation(FleetView view) {
        return mMonitor.observe(view)
                .map(PlatformObservation::observation)
                .orElseGet(Observation::none);
    }

    private CompletionStage<ApiResponse> planWave(ApiRequest call)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.PlanBody body = call.parseBody(RequestBodies.PlanBody.class);
        Set<ZoneId> zones =
                body.zones().stream().map(ZoneId::of).collect(Collectors.toUnmodifiableSet());
        Optional<ZoneId> strange =
                zones.stream().filter(z -> !mSettings.get().zones().containsKey(z)).findFirst();
        if (strange.isPresent()) {
            return completedFuture(ApiResponse.problem(Problem.zoneNotFound(strange.get())));
        }
        Set<PoolId> pools =
                body.pools().stream().map(PoolId::of).collect(Collectors.toUnmodifiableSet());
        return mLog.read(
                view ->
                        ApiResponse.ok(
                                view(
                                        mWaves.plan(
                                                view,
                                                plannedWave(view, zones, pools),
                                                observation(view)))));
    }

    private static WaveState plannedWave(FleetView view, Set<ZoneId> zones, Set<PoolId> pools) {
        return new WaveState(
                PLANNED_WAVE,
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
                plan.steps().stream().map(ExplainEndpoints::view).toList(),
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
