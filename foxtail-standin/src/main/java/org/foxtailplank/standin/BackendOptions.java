package org.foxtailplank.standin;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * How a backend server stand-in behaves.
 *
 * @param name name that its answers carry
 * @param address where it listens; port 0 lets the system choose
 * @param slots requests that it runs at once
 * @param connections connections that it accepts
 * @param serviceTime mean time that a request takes, spread evenly from half to one and a half
 * @param seed seed of that spread and of its faults
 */
public record BackendOptions(
        String name,
        InetSocketAddress address,
        int slots,
        int connections,
        Duration serviceTime,
        long seed) {

    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final Duration SERVICE_TIME = Duration.ofMillis(5);

    /** Today's size, on a port that the system chooses. */
    public static BackendOptions named(String name) {
        return new BackendOptions(
                name,
                new InetSocketAddress("127.0.0.1", 0),
                SLOTS,
                CONNECTIONS,
                SERVICE_TIME,
                name.hashCode());
    }

    /** The same with other limits. */
    public BackendOptions withLimits(int slots, int connections) {
        return new BackendOptions(name, address, slots, connections, serviceTime, seed);
    }

    /** The same with another mean service time. */
    public BackendOptions withServiceTime(Duration mean) {
        return new BackendOptions(name, address, slots, connections, mean, seed);
    }

    /** The same at another address. */
    public BackendOptions at(InetSocketAddress other) {
        return new BackendOptions(name, other, slots, connections, serviceTime, seed);
    }
}
