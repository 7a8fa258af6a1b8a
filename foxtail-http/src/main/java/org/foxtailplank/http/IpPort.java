package org.foxtailplank.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Parses untrusted addresses of the form {@code ip:port}. */
public final class IpPort {
    private static final int MAX_PORT = 0xffff;
    private static final int MAX_DIGITS = 5;

    private IpPort() {}

    /**
     * Returns the parsed address, or empty if the text is invalid. Host names are rejected, since
     * resolving them would block the event loop.
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
            throw new IllegalStateException(
                    "invalid IP address length: " + ip.length + " bytes", e);
        }
    }

    /** Returns the parsed port, or 0 if it is not a valid port to connect to. */
    private static int port(String text) {
        // Integer.parseInt also accepts signs and the digits of other scripts.
        boolean digits = text.length() <= MAX_DIGITS && text.chars().allMatch(IpPort::isDigit);
        int port = digits && !text.isEmpty() ? Integer.parseInt(text) : 0;
        return port <= MAX_PORT ? port : 0;
    }

    private static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }
}
