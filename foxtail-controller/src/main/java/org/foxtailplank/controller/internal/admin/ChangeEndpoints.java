package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailplank.controller.internal.admin.RequestBodies.ChangeBody;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.JobCancelled;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.JobSubmitted;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolTargetChanged;
import org.foxtailplank.state.TeamQuotaChanged;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveOrder;
import org.foxtailplank.state.WaveStarted;

/** The endpoints for changes. Each change is one record that expects an object version. */
final class ChangeEndpoints {
    private final FleetLog mLog;
    private final ChangeSubmitter mSubmitter;
    private final Supplier<Settings> mSettings;

    ChangeEndpoints(FleetLog log, ChangeSubmitter submitter, Supplier<Settings> settings) {
        mLog = log;
        mSubmitter = submitter;
        mSettings = settings;
    }

    List<Endpoint> endpoints() {
        return List.of(
                operator("PUT", "/v1/pools/*/target", this::setTarget),
                operator("POST", "/v1/vms/*/move", this::moveVm),
                operator("POST", "/v1/waves", this::startWave),
                operator(
                        "POST",
                        "/v1/waves/*/pause",
                        request -> controlWave(request, WaveOrder.PAUSE)),
                operator(
                        "POST",
                        "/v1/waves/*/resume",
                        request -> controlWave(request, WaveOrder.RESUME)),
                operator(
                        "POST",
                        "/v1/waves/*/cancel",
                        request -> controlWave(request, WaveOrder.CANCEL)),
                Endpoint.of("POST", "/v1/jobs", Role.SUBMITTER, this::submitJob),
                Endpoint.of("POST", "/v1/jobs/*/cancel", Role.SUBMITTER, this::cancelJob),
                operator("PUT", "/v1/teams/*/quota", this::setQuota));
    }

    private static Endpoint operator(String method, String path, Endpoint.Handler handler) {
        return Endpoint.of(method, path, Role.OPERATOR, handler);
    }

    private CompletionStage<ApiResponse> setTarget(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.TargetBody body = request.parseBody(RequestBodies.TargetBody.class);
        PoolId pool = PoolId.of(request.pathParameter());
        Change change =
                new PoolTargetChanged(pool, body.target(), body.reserve(), request.author(body));
        return submit(body, ObjectKey.of(pool), change);
    }

    private CompletionStage<ApiResponse> moveVm(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.MoveBody body = request.parseBody(RequestBodies.MoveBody.class);
        VmId vm = VmId.of(request.pathParameter());
        PoolId to = PoolId.of(body.to());
        ChangeAuthor author = request.author(body);
        return mLog.read(view -> view.vm(vm).map(state -> state.pool()))
                .thenCompose(
                        from ->
                                from.map(
                                                p ->
                                                        submit(
                                                                body,
                                                                ObjectKey.of(vm),
                                                                new VmReleased(vm, p, to, author)))
                                        .orElseGet(() -> objectNotFound(ObjectKey.of(vm))));
    }

    private CompletionStage<ApiResponse> startWave(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.WaveBody body = request.parseBody(RequestBodies.WaveBody.class);
        WaveId wave = WaveId.of(body.id());
        Set<ZoneId> zones = ids(body.zones(), ZoneId::of);
        Optional<ZoneId> unknownZone =
                zones.stream().filter(z -> !mSettings.get().zones().containsKey(z)).findFirst();
        if (unknownZone.isPresent()) {
            return completedFuture(ApiResponse.problem(Problem.zoneNotFound(unknownZone.get())));
        }
        Change change =
                new WaveStarted(wave, zones, ids(body.pools(), PoolId::of), request.author(body));
        return submit(body, ObjectKey.of(wave), change);
    }

    private CompletionStage<ApiResponse> controlWave(ApiRequest request, WaveOrder order)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.ControlBody body = request.parseBody(RequestBodies.ControlBody.class);
        WaveId wave = WaveId.of(request.pathParameter());
        Change change = new WaveControlled(wave, order, request.author(body));
        return submit(body, ObjectKey.of(wave), change);
    }

    private CompletionStage<ApiResponse> submitJob(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.JobBody body = request.parseBody(RequestBodies.JobBody.class);
        TeamId team = body.team() == null ? request.principal().team() : TeamId.of(body.team());
        if (!request.principal().mayActFor(team)) {
            return completedFuture(ApiResponse.problem(teamMismatch(request, team)));
        }
        RequestClass urgency =
                RequestClass.parse(body.urgency())
                        .orElseThrow(
                                () ->
                                        new ApiRequest.InvalidBodyException(
                                                "The field 'urgency' must be one of urgent,"
                                                        + " interactive, batch."));
        JobId job = JobId.of(body.id());
        JobSpec spec =
                new JobSpec(
                        team,
                        PoolId.of(body.pool()),
                        urgency,
                        body.processors(),
                        body.memoryBytes(),
                        body.accelerators(),
                        body.tasks());
        Change change = new JobSubmitted(job, spec, request.author(body));
        return submit(body, ObjectKey.of(job), change);
    }

    private CompletionStage<ApiResponse> cancelJob(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.ControlBody body = request.parseBody(RequestBodies.ControlBody.class);
        JobId job = JobId.of(request.pathParameter());
        Change change = new JobCancelled(job, request.author(body));
        return mLog.read(view -> view.job(job).map(JobState::spec).map(JobSpec::team))
                .thenCompose(
                        team -> {
                            if (team.isEmpty()) {
                                return objectNotFound(ObjectKey.of(job));
                            }
                            if (!request.principal().mayActFor(team.get())) {
                                return completedFuture(
                                        ApiResponse.problem(teamMismatch(request, team.get())));
                            }
                            return submit(body, ObjectKey.of(job), change);
                        });
    }

    private CompletionStage<ApiResponse> setQuota(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.QuotaBody body = request.parseBody(RequestBodies.QuotaBody.class);
        TeamId team = TeamId.of(request.pathParameter());
        if (!mSettings.get().teams().containsKey(team)) {
            return objectNotFound(ObjectKey.of(team));
        }
        Change change = new TeamQuotaChanged(team, body.quota(), request.author(body));
        return submit(body, ObjectKey.of(team), change);
    }

    private CompletionStage<ApiResponse> submit(ChangeBody body, ObjectKey key, Change change) {
        return mSubmitter.submit(change, key, body.version());
    }

    private static CompletionStage<ApiResponse> objectNotFound(ObjectKey key) {
        return completedFuture(ApiResponse.problem(Problem.objectNotFound(key)));
    }

    private static Problem teamMismatch(ApiRequest request, TeamId team) {
        return Problem.teamMismatch(request.principal().team().value(), team.value());
    }

    private static <T> Set<T> ids(Set<String> names, Function<String, T> id) {
        return names.stream().map(id).collect(Collectors.toUnmodifiableSet());
    }
}
