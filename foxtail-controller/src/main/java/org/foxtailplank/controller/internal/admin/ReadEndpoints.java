package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailplank.controller.internal.PeerView;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.TeamSettings;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;

/** The endpoints that read the state. */
final class ReadEndpoints {
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAX_LIMIT = 1000;

    private final FleetLog mLog;
    private final Supplier<Settings> mSettings;
    private final NodeId mSelf;
    private final PeerView mPeers;

    ReadEndpoints(FleetLog log, Supplier<Settings> settings, NodeId self, PeerView peers) {
        mLog = log;
        mSettings = settings;
        mSelf = self;
        mPeers = peers;
    }

    List<Endpoint> endpoints() {
        return List.of(
                reader("/v1/config", this::config),
                reader(
                        "/v1/pools",
                        request -> list(request, FleetView::pools, this::poolId, this::pool)),
                reader("/v1/pools/*", this::onePool),
                reader("/v1/vms", this::vms),
                reader("/v1/vms/*", this::oneVm),
                reader(
                        "/v1/waves",
                        request ->
                                list(
                                        request,
                                        FleetView::waves,
                                        w -> w.id().value(),
                                        Views.WaveView::of)),
                reader("/v1/waves/*", this::oneWave),
                reader(
                        "/v1/jobs",
                        request ->
                                list(
                                        request,
                                        FleetView::jobs,
                                        j -> j.id().value(),
                                        (view, j) -> Views.JobView.of(j))),
                reader("/v1/jobs/*", this::oneJob),
                reader("/v1/teams", this::teams),
                reader("/v1/nodes", this::nodes));
    }

    private static Endpoint reader(String path, Endpoint.Handler handler) {
        return Endpoint.of("GET", path, Role.READER, handler);
    }

    private CompletionStage<ApiResponse> config(ApiRequest request) {
        return mLog.read(
                view ->
                        view.configuration()
                                .map(c -> ApiResponse.ok(Views.ConfigView.of(c)))
                                .orElseGet(() -> ApiResponse.problem(Problem.noConfiguration())));
    }

    private String poolId(org.foxtailplank.state.PoolState pool) {
        return pool.id().value();
    }

    private Views.PoolView pool(FleetView view, org.foxtailplank.state.PoolState pool) {
        return Views.PoolView.of(view, pool);
    }

    private CompletionStage<ApiResponse> onePool(ApiRequest request) {
        PoolId id = PoolId.of(request.pathParameter());
        return findOne(ObjectKey.of(id), v -> v.pool(id).map(p -> Views.PoolView.of(v, p)));
    }

    private CompletionStage<ApiResponse> vms(ApiRequest request) {
        String pool = request.query().get("pool");
        String zone = request.query().get("zone");
        return list(
                request,
                view ->
                        view.vms().stream()
                                .filter(vm -> pool == null || vm.pool().value().equals(pool))
                                .filter(vm -> zone == null || vm.zone().value().equals(zone))
                                .toList(),
                vm -> vm.id().value(),
                (view, vm) -> Views.VmView.of(vm));
    }

    private CompletionStage<ApiResponse> oneVm(ApiRequest request) {
        VmId id = VmId.of(request.pathParameter());
        return findOne(ObjectKey.of(id), v -> v.vm(id).map(Views.VmView::of));
    }

    private CompletionStage<ApiResponse> oneWave(ApiRequest request) {
        WaveId id = WaveId.of(request.pathParameter());
        return findOne(ObjectKey.of(id), v -> v.wave(id).map(w -> Views.WaveView.of(v, w)));
    }

    private CompletionStage<ApiResponse> oneJob(ApiRequest request) {
        JobId id = JobId.of(request.pathParameter());
        return findOne(ObjectKey.of(id), v -> v.job(id).map(Views.JobView::of));
    }

    private CompletionStage<ApiResponse> teams(ApiRequest request) {
        return list(
                request,
                view -> mSettings.get().teams().entrySet(),
                e -> e.getKey().value(),
                (view, e) -> team(view, e));
    }

    private static Views.TeamView team(
            FleetView view, Map.Entry<org.foxtailplank.id.TeamId, TeamSettings> team) {
        return new Views.TeamView(
                team.getKey().value(),
                view.teamQuota(team.getKey()).orElse(team.getValue().quota()),
                team.getValue().role().name().toLowerCase(java.util.Locale.ROOT),
                view.version(ObjectKey.of(team.getKey())));
    }

    private CompletionStage<ApiResponse> nodes(ApiRequest request) {
        return list(
                request,
                view -> mSettings.get().nodes().entrySet(),
                e -> e.getKey().value(),
                this::node);
    }

    private Views.NodeView node(FleetView view, Map.Entry<NodeId, NodeSettings> node) {
        List<Views.ShardView> shards = new ArrayList<>();
        for (ZoneId zone : mSettings.get().zones().keySet()) {
            if (view.epoch(zone).holder().filter(node.getKey()::equals).isPresent()) {
                shards.add(Views.ShardView.of(view, zone));
            }
        }
        shards.sort(Comparator.comparing(Views.ShardView::zone));
        boolean isSelf = node.getKey().equals(mSelf);
        Optional<NodeStatus> status = mPeers.status(node.getKey());
        return new Views.NodeView(
                node.getKey().value(),
                node.getValue().zone().value(),
                node.getValue().admin().getHostString() + ":" + node.getValue().admin().getPort(),
                mPeers.silence(node.getKey()).toMillis(),
                isSelf
                        ? Optional.of(view.version(ObjectKey.configuration()))
                        : status.map(NodeStatus::configurationVersion),
                isSelf
                        ? Optional.of(view.nextOffset())
                        : status.map(s -> s.position().nextOffset()),
                shards);
    }

    private CompletionStage<ApiResponse> findOne(
            ObjectKey key, Function<FleetView, Optional<?>> finder) {
        return mLog.read(
                view ->
                        finder.apply(view)
                                .<ApiResponse>map(ApiResponse::ok)
                                .orElseGet(() -> ApiResponse.problem(Problem.objectNotFound(key))));
    }

    private interface ItemView<T> {
        Object of(FleetView view, T item);
    }

    private <T> CompletionStage<ApiResponse> list(
            ApiRequest request,
            Function<FleetView, Collection<T>> items,
            Function<T, String> name,
            ItemView<T> itemView) {
        Optional<Integer> limit = limit(request.query());
        if (limit.isEmpty()) {
            String detail = "limit is '" + request.query().get("limit") + "'.";
            return completedFuture(ApiResponse.problem(Problem.invalidQuery(detail)));
        }
        String after = request.query().getOrDefault("after", "");
        return mLog.read(view -> page(view, items.apply(view), name, itemView, limit.get(), after));
    }

    private static <T> ApiResponse page(
            FleetView view,
            Collection<T> items,
            Function<T, String> name,
            ItemView<T> itemView,
            int limit,
            String after) {
        List<T> rest =
                items.stream()
                        .filter(t -> name.apply(t).compareTo(after) > 0)
                        .sorted(Comparator.comparing(name))
                        .limit(limit + 1L)
                        .toList();
        List<T> page = rest.subList(0, Math.min(limit, rest.size()));
        Optional<String> next =
                rest.size() > limit
                        ? Optional.of(name.apply(page.get(page.size() - 1)))
                        : Optional.empty();
        List<Object> shownPage = page.stream().map(t -> itemView.of(view, t)).toList();
        return ApiResponse.ok(new Views.Page<>(view.nextOffset(), shownPage, next));
    }

    private static Optional<Integer> limit(Map<String, String> query) {
        String text = query.get("limit");
        if (text == null) {
            return Optional.of(DEFAULT_LIMIT);
        }
        try {
            int limit = Integer.parseInt(text);
            return limit >= 1 && limit <= MAX_LIMIT ? Optional.of(limit) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
