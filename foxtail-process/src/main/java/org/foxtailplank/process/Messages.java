package org.foxtailplank.process;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collection;

/** The one place where this module words errors for whoever started a program. */
final class Messages {
    private Messages() {}

    static String unreadable(Path file, String why) {
        return "can't read " + file + ": " + why + "; name a file that exists and may be read";
    }

    static String settingsWrong(String problems) {
        return "the settings are wrong, so nothing was started:\n" + problems;
    }

    static String settingsMissing() {
        return "no settings were named; give --settings FILE";
    }

    static String nodeMissing(Collection<String> nodes) {
        return "no node was named; give --node ID, one of " + String.join(", ", nodes);
    }

    static String nodeUnknown(String node, Collection<String> nodes) {
        return "the settings have no node \""
                + node
                + "\"; give --node ID, one of "
                + String.join(", ", nodes);
    }

    static String addressInUse(InetSocketAddress address, String why) {
        return "can't listen on "
                + text(address)
                + ": "
                + why
                + "; end the process that holds this port, or state another one in the settings";
    }

    static String usage(String program, String what) {
        return program + ": " + what + "; " + program + " --help lists the options";
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
