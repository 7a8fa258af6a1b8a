package org.foxtailplank.cli.internal.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.foxtailplank.process.SettingsFiles;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.SettingsOrigins;
import org.foxtailplank.settings.SettingsResult;
import org.kohsuke.args4j.Argument;

/** The commands {@code settings check} and {@code settings show}. */
public final class SettingsCommands {
    private SettingsCommands() {}

    /** Options of both commands. */
    static final class Options extends ProgramOptions {
        @Argument(required = true, metaVar = "FILE", usage = "base settings, JSON with comments")
        private Path mFile;

        SettingsResult read() throws ProcessException {
            return SettingsFiles.read(mFile, overlayFile().map(List::of).orElse(List.of()));
        }
    }

    /** Both commands. */
    public static List<Command> all() {
        return List.of(
                Command.of(
                        "settings check",
                        "names everything that is wrong with a settings file",
                        Options::new,
                        SettingsCommands::check),
                Command.of(
                        "settings show",
                        "prints the merged settings and where each value came from",
                        Options::new,
                        SettingsCommands::show));
    }

    private static ExitCode check(Options options, Console console) throws ProcessException {
        return onValid(
                options, console, v -> console.line("the settings hold: " + summary(v.settings())));
    }

    private static ExitCode show(Options options, Console console) throws ProcessException {
        return onValid(
                options, console, v -> v.origins().values().forEach(o -> console.line(text(o))));
    }

    private static ExitCode onValid(
            Options options, Console console, Consumer<SettingsResult.Valid> action)
            throws ProcessException {
        SettingsResult result = options.read();
        if (result instanceof SettingsResult.Invalid invalid) {
            console.error(invalid.text());
            return ExitCode.USAGE;
        }
        action.accept((SettingsResult.Valid) result);
        return ExitCode.DONE;
    }

    private static String text(SettingsOrigins.Value value) {
        return value.path() + " = " + value.text() + "  // " + value.origin();
    }

    private static String summary(Settings settings) {
        return "%s with %d zones, %d racks, %d VMs, %d services, %d pools, %d teams, %d nodes"
                .formatted(
                        settings.deployment(),
                        settings.zones().size(),
                        settings.racks().size(),
                        settings.vms().size(),
                        settings.services().size(),
                        settings.pools().size(),
                        settings.teams().size(),
                        settings.nodes().size());
    }
}
