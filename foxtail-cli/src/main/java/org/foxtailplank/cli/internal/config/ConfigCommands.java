package org.foxtailplank.cli.internal.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.foxtailplank.cli.internal.admin.AdminClient;
import org.foxtailplank.cli.internal.admin.AdminOptions;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The commands {@code config publish|diff|show|history|status}. */
public final class ConfigCommands {
    private ConfigCommands() {}

    /** Options of commands that take files. */
    static class FileOptions extends AdminOptions {
        @Argument(required = true, metaVar = "BASE", usage = "base file")
        private Path mBase;

        @Argument(index = 1, multiValued = true, metaVar = "OVERLAY", usage = "overlay of a site")
        private List<Path> mOverlays = new ArrayList<>();

        Draft draft() throws ProcessException {
            return Draft.ofFiles(mBase, mOverlays);
        }
    }

    /** Options of {@code config publish}. */
    static final class PublishOptions extends FileOptions {
        @Option(
                name = "--from",
                required = true,
                metaVar = "VERSION",
                usage = "version that the files were made from; 0 for the first")
        private long mFrom;

        @Option(name = "--why", required = true, metaVar = "TEXT", usage = "reason of the change")
        private String mWhy;

        @Option(
                name = "--rebase",
                usage = "where another version was published meanwhile, put this change on top")
        private boolean mRebase;

        @Option(name = "--wait", usage = "wait until it is in force at every node")
        private boolean mWait;

        long from() {
            return mFrom;
        }

        String why() {
            return mWhy;
        }

        boolean rebase() {
            return mRebase;
        }

        boolean waits() {
            return mWait;
        }
    }

    /** Options of {@code config show}. */
    static final class ShowOptions extends AdminOptions {
        @Option(name = "--out", metaVar = "DIR", usage = "write the files there")
        private Path mOut;
    }

    /** Options of {@code config history}. */
    static final class HistoryOptions extends AdminOptions {
        @Option(name = "--limit", metaVar = "N", usage = "how many versions to list")
        private int mLimit = 20;
    }

    /** All commands on configurations. */
    public static List<Command> all() {
        return List.of(
                Command.of(
                        "config publish",
                        "puts a base and overlays in force, if nobody else did meanwhile",
                        PublishOptions::new,
                        (o, console) -> new Publisher(o, console).run()),
                Command.of(
                        "config diff",
                        "compares the configuration in force with files",
                        FileOptions::new,
                        ConfigCommands::diff),
                Command.of(
                        "config show",
                        "prints the configuration in force, or writes it into a directory",
                        ShowOptions::new,
                        ConfigCommands::show),
                Command.of(
                        "config history",
                        "lists the versions that were in force: who and why",
                        HistoryOptions::new,
                        ConfigCommands::history),
                Command.of(
                        "config status",
                        "prints the version in force at each node",
                        AdminOptions::new,
                        ConfigCommands::status));
    }

    private static Views.Config inForce(AdminClient client)
            throws ProcessException, InterruptedException {
        return client.get("/v1/config").orEnd().as(Views.Config.class);
    }

    private static ExitCode diff(FileOptions options, Console console)
            throws ProcessException, InterruptedException {
        Draft mine = options.draft();
        try (AdminClient client = AdminClient.of(options, console)) {
            Views.Config now = inForce(client);
            List<JsonDiff.Difference> differences = now.draft().differencesTo(mine);
            console.line(CliMessages.differences(differences.size(), now.version()));
            differences.forEach(d -> console.line(d.toString()));
            return ExitCode.DONE;
        }
    }

    private static ExitCode show(ShowOptions options, Console console)
            throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(options, console)) {
            Views.Config now = inForce(client);
            console.line("// version " + now.version() + ", by " + now.who() + ": " + now.why());
            if (options.mOut != null) {
                write(options.mOut, now);
                return ExitCode.DONE;
            }
            console.line(now.base());
            now.overlays().forEach((site, text) -> console.line("// " + site + "\n" + text));
            return ExitCode.DONE;
        }
    }

    private static void write(Path directory, Views.Config config) throws ProcessException {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("base.jsonc"), config.base());
            for (Map.Entry<String, String> overlay : config.overlays().entrySet()) {
                Files.writeString(
                        directory.resolve(overlay.getKey() + ".jsonc"), overlay.getValue());
            }
        } catch (IOException e) {
            throw ProcessException.failed(CliMessages.unwritable(directory, e.toString()), e);
        }
    }

    private static ExitCode history(HistoryOptions options, Console console)
            throws ProcessException, InterruptedException {
        if (options.settingsFile().isEmpty()) {
            throw ProcessException.usage(CliMessages.noPlatform());
        }
        try (AdminClient client = AdminClient.of(options, console)) {
            LogHistory history = LogHistory.of(options.settings().platform(), client.runtime());
            long version = inForce(client).version();
            List<LogHistory.Step> steps = history.steps(version, options.mLimit);
            for (LogHistory.Step step : steps) {
                console.line(
                        "%d from %d by %s: %s (%s)"
                                .formatted(
                                        step.version(),
                                        step.from(),
                                        step.author().who(),
                                        step.author().why(),
                                        step.isWhole() ? "whole" : "patch"));
            }
            boolean all = !steps.isEmpty() && steps.get(steps.size() - 1).from() == 0;
            if (!all && steps.size() < options.mLimit) {
                console.line(CliMessages.olderExpired());
            }
            return ExitCode.DONE;
        }
    }

    private static ExitCode status(AdminOptions options, Console console)
            throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(options, console)) {
            List<InForce.At> all = new InForce(client).ask();
            long newest = all.stream().mapToLong(InForce.At::version).max().orElse(0);
            for (InForce.At at : all) {
                String behind = at.version() < newest ? "  behind " + newest : "";
                console.line(at.zone() + "  " + at + behind);
            }
            return all.stream().allMatch(a -> a.version() == newest)
                    ? ExitCode.DONE
                    : ExitCode.FAILED;
        }
    }
}
