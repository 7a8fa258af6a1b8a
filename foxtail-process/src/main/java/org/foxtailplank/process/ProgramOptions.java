package org.foxtailplank.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;
import org.kohsuke.args4j.Option;

/** Command line options common to all programs; subclasses add their own. */
public class ProgramOptions {
    @Option(name = "--help", aliases = "-h", help = true, usage = "print the options and exit")
    private boolean mHelp;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    private boolean mVersion;

    @Option(name = "--settings", metaVar = "FILE", usage = "base settings, JSON with comments")
    private Path mSettings;

    @Option(
            name = "--overlay",
            metaVar = "FILE",
            usage = "overrides of the base settings for one site")
    private Path mOverlay;

    @Option(name = "--node", metaVar = "ID", usage = "name of this node in the settings")
    private String mNode;

    @Option(name = "--log-format", metaVar = "text|json", usage = "lines, or a JSON object a line")
    private LogFormat mLogFormat = LogFormat.TEXT;

    @Option(
            name = "--log-level",
            metaVar = "warning|info|debug",
            usage = "how much is logged; debug follows each request by its id")
    private LogLevel mLogLevel = LogLevel.INFO;

    /** Returns the log level. */
    public final LogLevel logLevel() {
        return mLogLevel;
    }

    /** Returns whether the help text is requested. */
    public final boolean help() {
        return mHelp;
    }

    /** Returns whether the version is requested. */
    public final boolean version() {
        return mVersion;
    }

    /** Returns the log format. */
    public final LogFormat logFormat() {
        return mLogFormat;
    }

    /** Returns the base settings file, if given. */
    public final Optional<Path> settingsFile() {
        return Optional.ofNullable(mSettings);
    }

    /** Returns the overlay file, if given. */
    public final Optional<Path> overlayFile() {
        return Optional.ofNullable(mOverlay);
    }

    /** Loads the given settings files. */
    public final Settings settings() throws ProcessException {
        Path file =
                settingsFile()
                        .orElseThrow(() -> ProcessException.usage(Messages.missingSettings()));
        return SettingsFiles.load(file, overlayFile());
    }

    /** Returns the given node, which must exist in the settings. */
    public final NodeId node(Settings settings) throws ProcessException {
        List<String> nodes =
                settings.nodes().keySet().stream().map(NodeId::value).sorted().toList();
        if (mNode == null) {
            throw ProcessException.usage(Messages.missingNode(nodes));
        }
        if (!nodes.contains(mNode)) {
            throw ProcessException.usage(Messages.unknownNode(mNode, nodes));
        }
        return NodeId.of(mNode);
    }

    /** Returns the settings of the given node. */
    public final NodeSettings nodeSettings(Settings settings) throws ProcessException {
        return settings.nodes().get(node(settings));
    }
}
