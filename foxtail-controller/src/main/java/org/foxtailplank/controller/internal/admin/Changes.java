package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailplank.controller.internal.admin.Bodies.ChangeBody;
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
final class Changes {
    private final FleetLog mLog;
    private final Submitter mSubmitter;
    private final Supplier<Settings> mSettings;

    Changes(FleetLog log, Submitter submitter, Supplier<Settings> settings) {
        mLog = log;
        mSubmitter = submitter;
        mSettings = settings;
    }

    List<Endpoint> endpoints() {
        return List.of(
                operator("PUT", "/v1/pools/*/target", this::target),
                operator("POST", "/v1/vms/*/move", this::move),
                operator("POST", "/v1/waves", this::startWave),
                operator("POST", "/v1/waves/*/pause", call -> order(call, WaveOrder.PAUSE)),
                operator("POST", "/v1/waves/*/resume", call -> order(call, WaveOrder.RESUME)),
                operator("POST", "/v1/waves/*/cancel", call -> order(call, WaveOrder.CANCEL)),
                Endpoint.of("POST", "/v1/jobs", Role.SUBMITTER, this::submitJob),
                Endpoint.of("POST", "/v1/jobs/*/cancel", Role.SUBMITTER, this::cancelJob),
                operator("PUT", "/v1/teams/*/quota", this::quota));
    }

    private static Endpoint operator(String method, String path, Endpoint.Handler handler) {
        return Endpoint.of(method, path, Role.OPERATOR, handler);
    }

    private CompletionStage<Answer> target(Call call) throws Call.BadBodyException {
        Bodies.TargetBody body = call.read(Bodies.TargetBody.class);
        PoolId pool = PoolId.of(call.name());
        Change change =
                new PoolTargetChanged(pool, body.target(), body.reserve(), call.author(body));
        return write(body, ObjectKey.of(pool), change);
    }

    private CompletionStage<Answer> move(Call call) throws Call.BadBodyException {
        Bodies.MoveBody body = call.read(Bodies.MoveBody.class);
        VmId vm = VmId.of(call.name());
        PoolId to = PoolId.of(body.to());
        Author author = call.author(body);
        return mLog.read(view -> view.vm(vm).map(state -> state.pool()))
                .thenCompose(
                        from ->
                                from.map(
                                                p ->
                                                        write(
                                                                body,
                                                                ObjectKey.of(vm),
                                                                new VmReleased(vm, p, to, author)))
                                        .orElseGet(() -> unknown(ObjectKey.of(vm))));
    }

    private CompletionStage<Answer> startWave(Call call) throws Call.BadBodyException {
        Bodies.WaveBody body = call.read(Bodies.WaveBody.class);
        WaveId wave = WaveId.of(body.id());
        Set<ZoneId> zones = ids(body.zones(), ZoneId::of);
        Optional<ZoneId> strange =
                zones.stream().filter(z -> !mSettings.get().zones().containsKey(z)).findFirst();
        if (strange.isPresent()) {
            return completedFuture(Answer.problem(Problem.unknownZone(strange.get())));
        }
        Change change =
                new WaveStarted(wave, zones, ids(body.pools(), PoolId::of), call.author(body));
        return write(body, ObjectKey.of(wave), change);
    }

    private CompletionStage<Answer> order(Call call, WaveOrder order) throws Call.BadBodyException {
        Bodies.OrderBody body = call.read(Bodies.OrderBody.class);
        WaveId wave = WaveId.of(call.name());
        Change change = new WaveControlled(wave, order, call.author(body));
        return write(body, ObjectKey.of(wave), change);
    }

    private CompletionStage<Answer> submitJob(Call call) throws Call.BadBodyException {
        Bodies.JobBody body = call.read(Bodies.JobBody.class);
        TeamId team = body.team() == null ? call.caller().team() : TeamId.of(body.team());
        if (!call.caller().mayActFor(team)) {
            return completedFuture(Answer.problem(otherTeam(call, team)));
        }
        RequestClass urgency =
                RequestClass.parse(body.urgency())
                        .orElseThrow(
                                () ->
                                        new Call.BadBodyException(
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
        return write(body, ObjectKey.of(job), change);
    }

    private CompletionStage<Answer> cancelJob(Call call) throws Call.BadBodyException {
        Bodies.OrderBody body = call.read(Bodies.OrderBody.class);
        JobId job = JobId.of(call.name());
        Change change = new JobCancelled(job, call.author(body));
        return mLog.read(view -> view.job(job).map(JobState::spec).map(JobSpec::team))
                .thenCompose(
                        team -> {
                            if (team.isEmpty()) {
                                return unknown(ObjectKey.of(job));
                            }
                            if (!call.caller().mayActFor(team.get())) {
                                return completedFuture(Answer.problem(otherTeam(call, team.get())));
                            }
                            return write(body, ObjectKey.of(job), change);
                        });
    }

    private CompletionStage<Answer> quota(Call call) throws Call.BadBodyException {
        Bodies.QuotaBody body = call.read(Bodies.QuotaBody.class);
        TeamId team = TeamId.of(call.name());
        if (!mSettings.get().teams().containsKey(team)) {
            return unknown(ObjectKey.of(team));
        }
        Change change = new TeamQuotaChanged(team, body.quota(), call.author(body));
        return write(body, ObjectKey.of(team), change);
    }

    private CompletionStage<Answer> write(ChangeBody body, ObjectKey key, Change change) {
        return mSubmitter.submit(change, key, body.version());
    }

    private static CompletionStage<Answer> unknown(ObjectKey key) {
        return completedFuture(Answer.problem(Problem.unknown(key)));
    }

    private static Problem otherTeam(Call call, TeamId team) {
        return Problem.otherTeam(call.caller().team().value(), team.value());
    }

    private static <T> Set<T> ids(Set<String> names, Function<String, T> id) {
        return names.stream().map(id).collect(Collectors.toUnmodifiableSet());
    }
}
