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
import org.foxtailplank.internal.state.PatchedText;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.settings.Role;
import org.foxtailplank.state.Author;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetShape;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VoidReason;

/** The calls that publish a configuration; it is checked as a whole before it is appended. */
final class Publications {
    private static final ObjectKey KEY = ObjectKey.configuration();
    private static final String EMPTY = "{}";

    private final FleetLog mLog;
    private final Submitter mSubmitter;
    private final ConfigurationChecker mChecker;

    Publications(FleetLog log, Submitter submitter, ConfigurationChecker checker) {
        mLog = log;
        mSubmitter = submitter;
        mChecker = checker;
    }

    List<Endpoint> endpoints() {
        return List.of(
                Endpoint.of("PUT", "/v1/config", Role.OPERATOR, this::publish),
                Endpoint.of("PATCH", "/v1/config", Role.OPERATOR, this::patch));
    }

    private CompletionStage<Answer> publish(Call call) throws Call.BadBodyException {
        Bodies.ConfigBody body = call.read(Bodies.ConfigBody.class);
        Map<ZoneId, String> overlays = byZone(body.overlays());
        ConfigurationChecker.Checked checked = mChecker.check(body.base(), overlays);
        if (checked.shape().isEmpty()) {
            return bad(checked);
        }
        Change change =
                new ConfigurationPublished(
                        body.base(), overlays, checked.shape().get(), call.author(body));
        return mSubmitter.submit(change, KEY, body.version());
    }

    private CompletionStage<Answer> patch(Call call) throws Call.BadBodyException {
        Bodies.ConfigPatchBody body = call.read(Bodies.ConfigPatchBody.class);
        return mLog.read(FleetView::configuration)
                .thenCompose(
                        now ->
                                now.map(c -> patch(c, body, call.author(body)))
                                        .orElseGet(Publications::noConfiguration));
    }

    private static CompletionStage<Answer> noConfiguration() {
        return completedFuture(Answer.problem(Problem.noConfiguration()));
    }

    private CompletionStage<Answer> patch(
            Configuration now, Bodies.ConfigPatchBody body, Author author) {
        if (now.version() != body.version()) {
            String detail = "configuration is at version %d, not %d";
            Verdict.Void stale =
                    new Verdict.Void(
                            VoidReason.STALE_VERSION,
                            detail.formatted(now.version(), body.version()));
            return completedFuture(
                    Answer.conflict(Problem.refused(stale), Views.ConfigView.of(now)));
        }
        Map<ZoneId, String> patches = byZone(body.overlayPatches());
        Optional<Merged> merged = merge(now, body.basePatch(), patches);
        if (merged.isEmpty()) {
            return completedFuture(
                    Answer.problem(Problem.badBody("A merge patch is not a JSON object.")));
        }
        ConfigurationChecker.Checked checked =
                mChecker.check(merged.get().base(), merged.get().overlays());
        if (checked.shape().isEmpty()) {
            return bad(checked);
        }
        Change change = change(now, merged.get(), checked.shape().get(), body, author);
        return mSubmitter.submit(change, KEY, body.version());
    }

    /** The texts that a patch leads to. */
    private record Merged(String base, Map<ZoneId, String> overlays) {}

    private static Optional<Merged> merge(
            Configuration now, String basePatch, Map<ZoneId, String> patches) {
        Optional<String> base = PatchedText.merge(now.base(), basePatch);
        Map<ZoneId, String> overlays = new HashMap<>(now.overlays());
        for (Map.Entry<ZoneId, String> p : patches.entrySet()) {
            String old = overlays.getOrDefault(p.getKey(), EMPTY);
            Optional<String> text = PatchedText.merge(old, p.getValue());
            if (text.isEmpty()) {
                return Optional.empty();
            }
            overlays.put(p.getKey(), text.get());
        }
        return base.map(b -> new Merged(b, overlays));
    }

    /** A patch that removes VMs or pools is written as the whole it leads to. */
    private Change change(
            Configuration now,
            Merged merged,
            FleetShape shape,
            Bodies.ConfigPatchBody body,
            Author author) {
        Optional<FleetShape> old = mChecker.check(now.base(), now.overlays()).shape();
        boolean whole = old.map(o -> !keeps(o, shape)).orElse(true);
        if (whole) {
            return new ConfigurationPublished(merged.base(), merged.overlays(), shape, author);
        }
        FleetShape added =
                new FleetShape(
                        newIn(old.get().vms(), shape.vms()),
                        newIn(old.get().pools(), shape.pools()),
                        newIn(old.get().minAvailable(), shape.minAvailable()));
        return new ConfigurationChanged(
                body.basePatch(), byZone(body.overlayPatches()), added, author);
    }

    private static boolean keeps(FleetShape old, FleetShape next) {
        return next.vms().keySet().containsAll(old.vms().keySet())
                && next.pools().keySet().containsAll(old.pools().keySet())
                && next.minAvailable().keySet().containsAll(old.minAvailable().keySet());
    }

    private static <K, V> Map<K, V> newIn(Map<K, V> old, Map<K, V> next) {
        Map<K, V> added = new HashMap<>(next);
        added.entrySet().removeAll(old.entrySet());
        return added;
    }

    private static CompletionStage<Answer> bad(ConfigurationChecker.Checked checked) {
        String errors = String.join("\n", checked.errors());
        return completedFuture(Answer.problem(Problem.badConfiguration(errors)));
    }

    private static Map<ZoneId, String> byZone(Map<String, String> texts) {
        return texts.entrySet().stream()
                .collect(Collectors.toMap(e -> ZoneId.of(e.getKey()), Map.Entry::getValue));
    }
}
