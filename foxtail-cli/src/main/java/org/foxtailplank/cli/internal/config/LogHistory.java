package org.foxtailplank.cli.internal.config;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.state.MergePatch;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationChange;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.wire.RecordCodec;
import org.foxtailplank.wire.RecordFormatException;

/**
 * Reads earlier configurations from the platform's log.
 *
 * <p>A version is the offset of the record that made it, and that record names the version it was
 * made from; so the versions that were in force are a chain, and nothing else has to be read.
 */
final class LogHistory {
    private static final String STREAM = "fleet";

    private final PlatformLog mLog;
    private final URI mAddress;

    private LogHistory(PlatformLog log, URI address) {
        mLog = log;
        mAddress = address;
    }

    /** The history on the log of a platform. */
    static LogHistory of(PlatformSettings platform, PekkoRuntime runtime) {
        HttpPlatform http =
                HttpPlatform.at(platform.address(), platform.timeout(), runtime.system());
        return new LogHistory(http.log(), platform.address());
    }

    /**
     * One version that was in force.
     *
     * @param version the version
     * @param from the version that it was made from; 0 for the first one
     * @param change what made it
     */
    record Step(long version, long from, ConfigurationChange change) {
        ChangeAuthor author() {
            return change instanceof ConfigurationChanged c
                    ? c.author()
                    : ((ConfigurationPublished) change).author();
        }

        boolean isWhole() {
            return change instanceof ConfigurationPublished;
        }
    }

    /** A version and those before it, newest first, as far as the log still holds them. */
    List<Step> steps(long version, int limit) throws ProcessException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        long next = version;
        while (next > 0 && steps.size() < limit) {
            Optional<Step> step = step(next);
            if (step.isEmpty()) {
                break;
            }
            steps.add(step.get());
            next = step.get().from();
        }
        return steps;
    }

    /** The texts of a version; empty when the log doesn't hold them any more. */
    Optional<Draft> at(long version) throws ProcessException, InterruptedException {
        if (version == 0) {
            return Optional.of(new Draft("{}", Map.of()));
        }
        List<Step> steps = new ArrayList<>();
        long next = version;
        while (steps.isEmpty() || !steps.get(steps.size() - 1).isWhole()) {
            Optional<Step> step = step(next);
            if (step.isEmpty()) {
                return Optional.empty();
            }
            steps.add(step.get());
            next = step.get().from();
        }
        Collections.reverse(steps);
        Draft draft = new Draft("{}", Map.of());
        for (Step step : steps) {
            draft = apply(draft, step.change());
        }
        return Optional.of(draft);
    }

    private static Draft apply(Draft draft, ConfigurationChange change) throws ProcessException {
        if (change instanceof ConfigurationPublished c) {
            Map<String, String> overlays = new TreeMap<>();
            c.overlays().forEach((zone, text) -> overlays.put(zone.value(), text));
            return new Draft(c.base(), overlays);
        }
        ConfigurationChanged c = (ConfigurationChanged) change;
        Map<String, String> overlays = new TreeMap<>(draft.overlays());
        for (Map.Entry<ZoneId, String> patch : c.overlayPatches().entrySet()) {
            String site = patch.getKey().value();
            overlays.put(site, patched(overlays.getOrDefault(site, "{}"), patch.getValue()));
        }
        return new Draft(patched(draft.base(), c.basePatch()), overlays);
    }

    private static String patched(String text, String patch) throws ProcessException {
        return MergePatch.mergeTexts(text, patch)
                .orElseThrow(() -> ProcessException.failed(CliMessages.notAnObject(STREAM)));
    }

    private Optional<Step> step(long version) throws ProcessException, InterruptedException {
        ReadResult read = read(version);
        if (read.entries().isEmpty() || read.entries().get(0).offset() != version) {
            return Optional.empty();
        }
        try {
            LogRecord record = RecordCodec.decode(read.entries().get(0).data());
            Long from = record.expects().get(ObjectKey.configuration());
            return record.change() instanceof ConfigurationChange change && from != null
                    ? Optional.of(new Step(version, from, change))
                    : Optional.empty();
        } catch (RecordFormatException e) {
            return Optional.empty();
        }
    }

    private ReadResult read(long offset) throws ProcessException, InterruptedException {
        try {
            return mLog.read(STREAM, offset, 1, Duration.ZERO).toCompletableFuture().get();
        } catch (ExecutionException e) {
            throw ProcessException.failed(
                    CliMessages.platformAway(mAddress, e.getCause().getMessage()), e);
        }
    }
}
