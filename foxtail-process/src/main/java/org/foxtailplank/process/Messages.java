package org.foxtailplank.process;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collection;

/** Error messages printed to the user of a program. */
final class Messages {
    private Messages() {}

    static String unreadableFile(Path file, String reason) {
        return "can't read " + file + ": " + reason + "; name a file that exists and may be read";
    }

    static String invalidSettings(String problems) {
        return "invalid settings, nothing was started:\n" + problems;
    }

    static String missingSettings() {
        return "no settings were named; give --settings FILE";
    }

    static String missingNode(Collection<String> nodes) {
        return "no node was named; give --node ID, one of " + String.join(", ", nodes);
    }

    static String unknownNode(String node, Collection<String> nodes) {
        return "the settings have no node \""
                + node
                + "\"; give --node ID, one of "
                + String.join(", ", nodes);
    }

    static String addressInUse(InetSocketAddress address, String reason) {
        return "can't listen on "
                + text(address)
                + ": "
                + reason
                + "; end the process that holds this port, or state another one in the settings";
    }

    static String usage(String program, String problem) {
        return program + ": " + problem + "; " + program + " --help lists the options";
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
