package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.foxtailplank.controller.ConfigurationChecker;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.state.MergePatch;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.settings.Role;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Publication;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VoidReason;

/** The endpoints that publish a configuration, which is validated before it is appended. */
final class ConfigurationEndpoints {
    private static final ObjectKey KEY = ObjectKey.configuration();
    private static final String EMPTY = "{}";

    private final FleetLog mLog;
    private final ChangeSubmitter mSubmitter;
    private final ConfigurationChecker mChecker;

    ConfigurationEndpoints(FleetLog log, ChangeSubmitter submitter, ConfigurationChecker checker) {
        mLog = log;
        mSubmitter = submitter;
        mChecker = checker;
    }

    List<Endpoint> endpoints() {
        return List.of(
                Endpoint.of("PUT", "/v1/config", Role.OPERATOR, this::publish),
                Endpoint.of("PATCH", "/v1/config", Role.OPERATOR, this::patch));
    }

    private CompletionStage<ApiResponse> publish(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.ConfigBody body = request.parseBody(RequestBodies.ConfigBody.class);
        Map<ZoneId, String> overlays = byZone(body.overlays());
        ConfigurationChecker.Result checked = mChecker.check(body.base(), overlays);
        if (checked.topology().isEmpty()) {
            return invalidConfiguration(checked);
        }
        return appendChange(
                new Publication(
                        body.base(), overlays, checked.topology().get(), request.author(body)),
                body.version());
    }

    /** Appends the smallest change that results in the published configuration. */
    private CompletionStage<ApiResponse> appendChange(Publication publication, long version) {
        return mLog.read(view -> publication.toChange(view, version))
                .thenCompose(change -> mSubmitter.submit(change, KEY, version));
    }

    private CompletionStage<ApiResponse> patch(ApiRequest request)
            throws ApiRequest.InvalidBodyException {
        RequestBodies.ConfigPatchBody body = request.parseBody(RequestBodies.ConfigPatchBody.class);
        return mLog.read(FleetView::configuration)
                .thenCompose(
                        current ->
                                current.map(c -> patch(c, body, request.author(body)))
                                        .orElseGet(ConfigurationEndpoints::noConfiguration));
    }

    private static CompletionStage<ApiResponse> noConfiguration() {
        return completedFuture(ApiResponse.problem(Problem.noConfiguration()));
    }

    private CompletionStage<ApiResponse> patch(
            Configuration current, RequestBodies.ConfigPatchBody body, ChangeAuthor author) {
        if (current.version() != body.version()) {
            String detail = "configuration is at version %d, not %d";
            Verdict.Void stale =
                    new Verdict.Void(
                            VoidReason.STALE_VERSION,
                            detail.formatted(current.version(), body.version()));
            return completedFuture(
                    ApiResponse.conflict(Problem.voidChange(stale), Views.ConfigView.of(current)));
        }
        Map<ZoneId, String> patches = byZone(body.overlayPatches());
        Optional<Merged> merged = merge(current, body.basePatch(), patches);
        if (merged.isEmpty()) {
            return completedFuture(
                    ApiResponse.problem(
                            Problem.invalidBody("A merge patch is not a JSON object.")));
        }
        ConfigurationChecker.Result checked =
                mChecker.check(merged.get().base(), merged.get().overlays());
        if (checked.topology().isEmpty()) {
            return invalidConfiguration(checked);
        }
        Merged m = merged.get();
        return appendChange(
                new Publication(m.base(), m.overlays(), checked.topology().get(), author),
                body.version());
    }

    /** The documents after a patch was applied. */
    private record Merged(String base, Map<ZoneId, String> overlays) {}

    private static Optional<Merged> merge(
            Configuration current, String basePatch, Map<ZoneId, String> patches) {
        Optional<String> base = MergePatch.mergeTexts(current.base(), basePatch);
        Map<ZoneId, String> overlays = new HashMap<>(current.overlays());
        for (Map.Entry<ZoneId, String> p : patches.entrySet()) {
            String old = overlays.getOrDefault(p.getKey(), EMPTY);
            Optional<String> text = MergePatch.mergeTexts(old, p.getValue());
            if (text.isEmpty()) {
                return Optional.empty();
            }
            overlays.put(p.getKey(), text.get());
        }
        return base.map(b -> new Merged(b, overlays));
    }

    private static CompletionStage<ApiResponse> invalidConfiguration(
            ConfigurationChecker.Result checked) {
        String errors = String.join("\n", checked.errors());
        return completedFuture(ApiResponse.problem(Problem.invalidConfiguration(errors)));
    }

    private static Map<ZoneId, String> byZone(Map<String, String> texts) {
        return texts.entrySet().stream()
                .collect(Collectors.toMap(e -> ZoneId.of(e.getKey()), Map.Entry::getValue));
    }
}
