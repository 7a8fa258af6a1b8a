package org.foxtailplank.it.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds ports for processes that are about to be started. */
public final class FreePorts {
    private FreePorts() {}

    /**
     * Returns different ports that are free on an address. Connections of other programs may take
     * them on 127.0.0.1, from which they leave, but not on other addresses of the loopback network.
     */
    public static List<Integer> on(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 0, InetAddress.getByName(ip)));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket s : sockets) {
                s.close();
            }
        }
    }
}
