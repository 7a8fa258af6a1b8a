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
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** The endpoints that explain the state of objects and preview waves. */
final class ExplainEndpoints {
    private static final WaveId PLANNED_WAVE = WaveId.of("plan");

    private final FleetLog mLog;
    private final Supplier<Settings> mSettings;
    private final FleetMonitor mMonitor;
    private final InstantSource mClock;
    private final WavePlanner mWaves = WavePlanner.byRack();

    ExplainEndpoints(
            FleetLog log, Supplier<Settings> settings, FleetMonitor monitor, InstantSource clock) {
        mLog = log;
        mSettings = settings;
        mMonitor = monitor;
        mClock = clock;
    }

    /**
     * The steps of a wave, assuming that nothing fails.
     *
     * @param vms VMs in all steps
     * @param steps the steps in order
     * @param blocked limits that prevent the remaining VMs from being stopped
     */
    record PlanView(int vms, List<StepView> steps, List<String> blocked) {}

    /**
     * VMs that are stopped together.
     *
     * @param width their number
     * @param vms the VMs
     * @param racks racks of the VMs
     * @param limits limits that prevent a wider step
     */
    record StepView(int width, List<String> vms, List<String> racks, List<String> limits) {}

    List<Endpoint> endpoints() {
        return List.of(
                Endpoint.of("GET", "/v1/explain/*/*", Role.READER, this::explain),
                Endpoint.of("POST", "/v1/waves/plan", Role.READER, this::planWave));
    }

    private CompletionStage<ApiResponse> explain(ApiRequest request) {
        String kind = request.pathParameters().get(0);
        String name = request.pathParameters().get(1);
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
        Observation observed = observation(view);
        BufferPlan buffer =
                BufferPlanner.byDemand(mSettings.get().fleet())
                        .plan(view, observed, BufferHistory.none(), mClock.millis());
        return new FleetExplainer(view, observed, buffer);
    }

    private Observation observation(FleetView view) {
        return mMonitor.observe(view)
                .map(PlatformObservation::observation)
                .orElseGet(Observation::none);
    }

    private CompletionStage<ApiResponse> planWave(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.PlanBody body = request.parseBody(RequestBodies.PlanBody.class);
        Set<ZoneId> zones =
                body.zones().stream().map(ZoneId::of).collect(Collectors.toUnmodifiableSet());
        Optional<ZoneId> unknownZone =
                zones.stream().filter(z -> !mSettings.get().zones().containsKey(z)).findFirst();
        if (unknownZone.isPresent()) {
            return completedFuture(ApiResponse.problem(Problem.zoneNotFound(unknownZone.get())));
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
                new ChangeAuthor("plan", "plan"),
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
