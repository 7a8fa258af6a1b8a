package org.foxtailplank.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Reads addresses of the form {@code ip:port} that others have written. */
public final class IpPort {
    private static final int MAX_PORT = 0xffff;

    private IpPort() {}

    /**
     * The address in a text; empty if it is none. Names of hosts are none: to look one up would
     * hold the event loop up for seconds.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        int port = port(text.substring(colon + 1));
        if (ip == null || port == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(ip), port));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an IP address of " + ip.length + " bytes", e);
        }
    }

    /** The port in a text; 0 if it is none that can be connected to. */
    private static int port(String text) {
        try {
            int port = Integer.parseInt(text);
            return port > 0 && port <= MAX_PORT ? port : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
