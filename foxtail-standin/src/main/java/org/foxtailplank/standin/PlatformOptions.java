package org.foxtailplank.standin;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * How the platform stand-in behaves.
 *
 * @param address where it listens; port 0 lets the system choose
 * @param listLag how far behind the list of VMs and the usage of workers are
 * @param wakeTime time from waking a VM until it serves
 * @param rebootTime time of a reboot
 * @param reassignTime time to start another pool's service on a VM
 * @param leaveTime time for which a drained VM says that it is leaving before it refuses work
 * @param drainTimeout longest wait for a drained VM to finish what is in flight
 * @param serviceTime mean service time of the backend servers on its VMs
 * @param taskStartTime time from asking for a task until it runs
 * @param taskTime time that a task runs
 * @param misdeclared share of the tasks that use four times, or a quarter of, what was declared
 * @param retention time that the log keeps a record
 * @param seed seed of everything random
 */
public record PlatformOptions(
        InetSocketAddress address,
        Duration listLag,
        Duration wakeTime,
        Duration rebootTime,
        Duration reassignTime,
        Duration leaveTime,
        Duration drainTimeout,
        Duration serviceTime,
        Duration taskStartTime,
        Duration taskTime,
        double misdeclared,
        Duration retention,
        long seed) {

    /** Times short enough for tests and the demo. */
    public static PlatformOptions quick() {
        return new PlatformOptions(
                new InetSocketAddress("127.0.0.1", 0),
                Duration.ofMillis(500),
                Duration.ofMillis(300),
                Duration.ofMillis(300),
                Duration.ofMillis(200),
                Duration.ofMillis(1000),
                Duration.ofSeconds(10),
                Duration.ofMillis(5),
                Duration.ofMillis(50),
                Duration.ofSeconds(5),
                0,
                Duration.ofHours(1),
                1);
    }

    /** The same at another address. */
    public PlatformOptions at(InetSocketAddress other) {
        return new PlatformOptions(
                other,
                listLag,
                wakeTime,
                rebootTime,
                reassignTime,
                leaveTime,
                drainTimeout,
                serviceTime,
                taskStartTime,
                taskTime,
                misdeclared,
                retention,
                seed);
    }

    /** The same with VMs that take other times. */
    public PlatformOptions withVmTimes(
            Duration wake, Duration reboot, Duration reassign, Duration leave) {
        return new PlatformOptions(
                address,
                listLag,
                wake,
                reboot,
                reassign,
                leave,
                drainTimeout,
                serviceTime,
                taskStartTime,
                taskTime,
                misdeclared,
                retention,
                seed);
    }

    /** The same with tasks and requests that take other times, and a share of false sizes. */
    public PlatformOptions withWork(
            Duration service, Duration taskStart, Duration task, double falseSizes) {
        return new PlatformOptions(
                address,
                listLag,
                wakeTime,
                rebootTime,
                reassignTime,
                leaveTime,
                drainTimeout,
                service,
                taskStart,
                task,
                falseSizes,
                retention,
                seed);
    }
}
