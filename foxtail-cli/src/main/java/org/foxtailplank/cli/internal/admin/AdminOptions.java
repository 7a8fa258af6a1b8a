package org.foxtailplank.cli.internal.admin;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.internal.settings.Units;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.foxtailplank.process.SettingsFiles;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;
import org.kohsuke.args4j.Option;

/** Options of commands that call the administration API. */
public class AdminOptions extends ProgramOptions {
    private static final String ADMIN = "FOXTAIL_ADMIN";
    private static final String TOKEN = "FOXTAIL_TOKEN";

    @Option(
            name = "--admin",
            metaVar = "ADDRESS,...",
            usage = "admin addresses of nodes to ask, one after the other (FOXTAIL_ADMIN)")
    private String mAdmin;

    @Option(
            name = "--token-file",
            metaVar = "FILE",
            usage = "file with the team's token (else FOXTAIL_TOKEN)")
    private Path mTokenFile;

    @Option(name = "--who", metaVar = "NAME", usage = "who asks, within the team")
    private String mWho = System.getProperty("user.name", "");

    @Option(name = "--timeout", metaVar = "TIME", usage = "how long to wait, for example 30s")
    private String mTimeout = "30s";

    @Option(name = "--json", usage = "print answers as JSON")
    private boolean mJson;

    /** Who asks, within the team. */
    public final String who() {
        return mWho;
    }

    /** Whether answers are printed as JSON. */
    public final boolean json() {
        return mJson;
    }

    /** How long to wait. */
    public final Duration timeout() throws ProcessException {
        return Units.duration(mTimeout)
                .orElseThrow(
                        () -> ProcessException.usage("--timeout takes " + Units.DURATION_FORM));
    }

    /** The addresses to ask, one after the other. */
    public final List<URI> admins(Console console) throws ProcessException {
        Optional<String> named = Optional.ofNullable(mAdmin).or(() -> console.environment(ADMIN));
        List<URI> admins = new ArrayList<>();
        if (named.isPresent()) {
            for (String address : Arrays.asList(named.get().split(","))) {
                admins.add(uri(address.trim()));
            }
        } else if (settingsFile().isPresent()) {
            admins.addAll(ofNodes(settings()));
        }
        if (admins.isEmpty()) {
            throw ProcessException.usage(CliMessages.noAdmin());
        }
        return admins;
    }

    /** The token to present. */
    public final String token(Console console) throws ProcessException {
        if (mTokenFile != null) {
            return SettingsFiles.text(mTokenFile).trim();
        }
        return console.environment(TOKEN)
                .orElseThrow(() -> ProcessException.usage(CliMessages.noToken()));
    }

    private static List<URI> ofNodes(Settings settings) throws ProcessException {
        List<URI> uris = new ArrayList<>();
        for (NodeSettings node : settings.nodes().values()) {
            InetSocketAddress address = node.admin();
            if (address.getPort() > 0) {
                uris.add(uri(address.getAddress().getHostAddress() + ":" + address.getPort()));
            }
        }
        return uris;
    }

    /** The base address of an administration API at an address such as {@code 127.0.0.1:7003}. */
    public static URI uri(String address) throws ProcessException {
        try {
            URI uri = URI.create(address.startsWith("http://") ? address : "http://" + address);
            if (uri.getHost() != null && uri.getPort() > 0) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            throw ProcessException.usage(CliMessages.badAddress(address));
        }
        throw ProcessException.usage(CliMessages.badAddress(address));
    }
}
