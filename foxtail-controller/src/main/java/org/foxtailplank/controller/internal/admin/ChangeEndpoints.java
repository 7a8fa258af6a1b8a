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
import org.foxtailplank.state.Author;
import org.foxtailplank.state.Change;
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

/** The calls that change something; each is one record on condition of a version. */
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
                operator("POST", "/v1/waves/*/pause", call -> controlWave(call, WaveOrder.PAUSE)),
                operator("POST", "/v1/waves/*/resume", call -> controlWave(call, WaveOrder.RESUME)),
                operator("POST", "/v1/waves/*/cancel", call -> controlWave(call, WaveOrder.CANCEL)),
                Endpoint.of("POST", "/v1/jobs", Role.SUBMITTER, this::submitJob),
                Endpoint.of("POST", "/v1/jobs/*/cancel", Role.SUBMITTER, this::cancelJob),
                operator("PUT", "/v1/teams/*/quota", this::setQuota));
    }

    private static Endpoint operator(String method, String path, Endpoint.Handler handler) {
        return Endpoint.of(method, path, Role.OPERATOR, handler);
    }

    private CompletionStage<ApiResponse> setTarget(ApiRequest call)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.TargetBody body = call.parseBody(RequestBodies.TargetBody.class);
        PoolId pool = PoolId.of(call.pathParameter());
        Change change =
                new PoolTargetChanged(pool, body.target(), body.reserve(), call.author(body));
        return submit(body, ObjectKey.of(pool), change);
    }

    private CompletionStage<ApiResponse> moveVm(ApiRequest call)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.MoveBody body = call.parseBody(RequestBodies.MoveBody.class);
        VmId vm = VmId.of(call.pathParameter());
        PoolId to = PoolId.of(body.to());
        Author author = call.author(body);
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

    private CompletionStage<ApiResponse> startWave(ApiRequest call)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.WaveBody body = call.parseBody(RequestBodies.WaveBody.class);
        WaveId wave = WaveId.of(body.id());
        Set<ZoneId> zones = ids(body.zones(), ZoneId::of);
        Optional<ZoneId> strange =
                zones.stream().filter(z -> !mSettings.get().zones().containsKey(z)).findFirst();
        if (strange.isPresent()) {
            return completedFuture(ApiResponse.problem(Problem.zoneNotFound(strange.get())));
        }
        Change change =
                new WaveStarted(wave, zones, ids(body.pools(), PoolId::of), call.author(body));
        return submit(body, ObjectKey.of(wave), change);
    }

    private CompletionStage<ApiResponse> controlWave(ApiRequest call, WaveOrder order)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.ControlBody body = call.parseBody(RequestBodies.ControlBody.class);
        WaveId wave = WaveId.of(call.pathParameter());
        Change change = new WaveControlled(wave, order, call.author(body));
        return submit(body, ObjectKey.of(wave), change);
    }

    private CompletionStage<ApiResponse> submitJob(ApiRequest call)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.JobBody body = call.parseBody(RequestBodies.JobBody.class);
        TeamId team = body.team() == null ? call.principal().team() : TeamId.of(body.team());
        if (!call.principal().mayActFor(team)) {
            return completedFuture(ApiResponse.problem(teamMismatch(call, team)));
        }
        RequestClass urgency =
                RequestClass.parse(body.urgency())
                        .orElseThrow(
                                () ->
                                        new ApiRequest.InvalidBodyException(
                                                "The field 'urgency' is none of urgent,"
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
        Change change = new JobSubmitted(job, spec, call.author(body));
        return submit(body, ObjectKey.of(job), change);
    }

    private CompletionStage<ApiResponse> cancelJob(ApiRequest call)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.ControlBody body = call.parseBody(RequestBodies.ControlBody.class);
        JobId job = JobId.of(call.pathParameter());
        Change change = new JobCancelled(job, call.author(body));
        return mLog.read(view -> view.job(job).map(JobState::spec).map(JobSpec::team))
                .thenCompose(
                        team -> {
                            if (team.isEmpty()) {
                                return objectNotFound(ObjectKey.of(job));
                            }
                            if (!call.principal().mayActFor(team.get())) {
                                return completedFuture(
                                        ApiResponse.problem(teamMismatch(call, team.get())));
                            }
                            return submit(body, ObjectKey.of(job), change);
                        });
    }

    private CompletionStage<ApiResponse> setQuota(ApiRequest call)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.QuotaBody body = call.parseBody(RequestBodies.QuotaBody.class);
        TeamId team = TeamId.of(call.pathParameter());
        if (!mSettings.get().teams().containsKey(team)) {
            return objectNotFound(ObjectKey.of(team));
        }
        Change change = new TeamQuotaChanged(team, body.quota(), call.author(body));
        return submit(body, ObjectKey.of(team), change);
    }

    private CompletionStage<ApiResponse> submit(ChangeBody body, ObjectKey key, Change change) {
        return mSubmitter.submit(change, key, body.version());
    }

    private static CompletionStage<ApiResponse> objectNotFound(ObjectKey key) {
        return completedFuture(ApiResponse.problem(Problem.objectNotFound(key)));
    }

    private static Problem teamMismatch(ApiRequest call, TeamId team) {
        return Problem.teamMismatch(call.principal().team().value(), team.value());
    }

    private static <T> Set<T> ids(Set<String> names, Function<String, T> id) {
        return names.stream().map(id).collect(Collectors.toUnmodifiableSet());
    }
}
