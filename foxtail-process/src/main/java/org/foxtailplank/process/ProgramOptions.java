package org.foxtailplank.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;
import org.kohsuke.args4j.Option;

/** Options that every program has; a program adds its own in a subclass. */
public class ProgramOptions {
    @Option(name = "--help", aliases = "-h", help = true, usage = "print the options and exit")
    private boolean mHelp;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    private boolean mVersion;

    @Option(name = "--settings", metaVar = "FILE", usage = "base settings, JSON with comments")
    private Path mSettings;

    @Option(name = "--overlay", metaVar = "FILE", usage = "what one site states differently")
    private Path mOverlay;

    @Option(name = "--node", metaVar = "ID", usage = "this process's name in the settings")
    private String mNode;

    @Option(name = "--log-format", metaVar = "text|json", usage = "lines, or a JSON object a line")
    private LogFormat mLogFormat = LogFormat.TEXT;

    @Option(
            name = "--log-level",
            metaVar = "warning|info|debug",
            usage = "how much is logged; debug follows each request by its id")
    private LogLevel mLogLevel = LogLevel.INFO;

    /** How much is logged. */
    public final LogLevel logLevel() {
        return mLogLevel;
    }

    /** Whether the options are asked for. */
    public final boolean help() {
        return mHelp;
    }

    /** Whether the version is asked for. */
    public final boolean version() {
        return mVersion;
    }

    /** How logs are written. */
    public final LogFormat logFormat() {
        return mLogFormat;
    }

    /** The base settings file, if one was named. */
    public final Optional<Path> settingsFile() {
        return Optional.ofNullable(mSettings);
    }

    /** The overlay file, if one was named. */
    public final Optional<Path> overlayFile() {
        return Optional.ofNullable(mOverlay);
    }

    /** The settings of the files that were named. */
    public final Settings settings() throws ProcessException {
        Path file =
                settingsFile()
                        .orElseThrow(() -> ProcessException.usage(Messages.settingsMissing()));
        return SettingsFiles.load(file, overlayFile());
    }

    /** The node that was named. */
    public final NodeId node(Settings settings) throws ProcessException {
        List<String> nodes =
                settings.nodes().keySet().stream().map(NodeId::value).sorted().toList();
        if (mNode == null) {
            throw ProcessException.usage(Messages.nodeMissing(nodes));
        }
        if (!nodes.contains(mNode)) {
            throw ProcessException.usage(Messages.nodeUnknown(mNode, nodes));
        }
        return NodeId.of(mNode);
    }

    /** The settings of the node that was named. */
    public final NodeSettings nodeSettings(Settings settings) throws ProcessException {
        return settings.nodes().get(node(settings));
    }
}
