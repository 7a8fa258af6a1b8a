package org.foxtailplank.cli.internal.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.internal.settings.Units;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.slo.BurnBook;
import org.foxtailplank.slo.BurnReport;
import org.foxtailplank.slo.BurnText;
import org.kohsuke.args4j.Option;

/** The command {@code report burn}. */
public final class ReportCommands {
    private ReportCommands() {}

    /** Options of {@code report burn}. */
    static final class BurnOptions extends ProgramOptions {
        @Option(name = "--service", metaVar = "ID", usage = "one service only")
        private String mService;

        @Option(name = "--window", metaVar = "TIME", usage = "window of the budget, as 1h")
        private String mWindow = "1h";

        @Option(name = "--html", metaVar = "FILE", usage = "write a page with plots there")
        private Path mHtml;

        private Duration window() throws ProcessException {
            return Units.duration(mWindow)
                    .orElseThrow(
                            () -> ProcessException.usage("--window takes " + Units.DURATION_FORM));
        }

        /** The objectives of the services that are asked for. */
        private Map<ServiceId, Double> objectives(Settings settings) throws ProcessException {
            Map<ServiceId, Double> objectives = new TreeMap<>();
            for (Map.Entry<ServiceId, ServiceSettings> e : settings.services().entrySet()) {
                if (mService == null || e.getKey().value().equals(mService)) {
                    objectives.put(e.getKey(), e.getValue().objective());
                }
            }
            if (objectives.isEmpty()) {
                throw ProcessException.usage(CliMessages.noService(mService));
            }
            return objectives;
        }
    }

    /** All reports. */
    public static List<Command> all() {
        return List.of(
                Command.of(
                        "report burn",
                        "says how each service spends its error budget, and on what",
                        BurnOptions::new,
                        ReportCommands::burn));
    }

    private static ExitCode burn(BurnOptions options, Console console)
            throws ProcessException, InterruptedException {
        Settings settings = options.settings();
        Duration window = options.window();
        Map<ServiceId, Double> objectives = options.objectives(settings);
        BurnBook book;
        try (PekkoRuntime runtime = PekkoRuntime.start("foxtail", 2)) {
            book = BurnReader.read(settings.platform(), runtime, window);
        }
        BurnReport report = BurnReport.of(book, objectives, window, Instant.now());
        console.line(BurnText.of(report).stripTrailing());
        if (options.mHtml != null) {
            write(options.mHtml, BurnPage.of(settings.deployment(), report));
        }
        return ExitCode.DONE;
    }

    private static void write(Path file, String page) throws ProcessException {
        try {
            Files.writeString(file, page);
        } catch (IOException e) {
            throw ProcessException.failed(CliMessages.unwritable(file, e.toString()), e);
        }
    }
}
