package org.foxtailplank.standin;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * How the platform stand-in behaves.
 *
 * @param address where it listens; port 0 lets the system choose
 * @param listLag how far behind the list of VMs and the usage of workers are
 * @param vmTimes how long actions on VMs take
 * @param work how requests and tasks run
 * @param seed seed of everything random
 */
public record PlatformOptions(
        InetSocketAddress address, Duration listLag, VmTimes vmTimes, Work work, long seed) {

    /**
     * How long actions on VMs take.
     *
     * @param wake time from waking a VM until it serves
     * @param reboot time of a reboot
     * @param reassign time to start another pool's service on a VM
     * @param leave time for which a drained VM says that it is leaving before it refuses work
     * @param drainTimeout longest wait for a drained VM to finish what is in flight
     */
    public record VmTimes(
            Duration wake,
            Duration reboot,
            Duration reassign,
            Duration leave,
            Duration drainTimeout) {}

    /**
     * How requests and tasks run.
     *
     * @param service mean service time of the backend servers on the VMs
     * @param taskStart time from asking for a task until it runs
     * @param task time that a task runs
     * @param misdeclared share of the tasks that use four times, or a quarter of, what was declared
     */
    public record Work(Duration service, Duration taskStart, Duration task, double misdeclared) {}

    /** Times short enough for tests and the demo. */
    public static PlatformOptions quick() {
        return new PlatformOptions(
                new InetSocketAddress("127.0.0.1", 0),
                Duration.ofMillis(500),
                new VmTimes(
                        Duration.ofMillis(300),
                        Duration.ofMillis(300),
                        Duration.ofMillis(200),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(10)),
                new Work(Duration.ofMillis(5), Duration.ofMillis(50), Duration.ofSeconds(5), 0),
                1);
    }

    /** The same at another address. */
    public PlatformOptions at(InetSocketAddress other) {
        return new PlatformOptions(other, listLag, vmTimes, work, seed);
    }

    /** The same with VMs that take other times. */
    public PlatformOptions withVmTimes(
            Duration wake, Duration reboot, Duration reassign, Duration leave) {
        VmTimes times = new VmTimes(wake, reboot, reassign, leave, vmTimes.drainTimeout());
        return new PlatformOptions(address, listLag, times, work, seed);
    }

    /** The same with tasks and requests that take other times, and a share of false sizes. */
    public PlatformOptions withWork(
            Duration service, Duration taskStart, Duration task, double misdeclared) {
        Work other = new Work(service, taskStart, task, misdeclared);
        return new PlatformOptions(address, listLag, vmTimes, other, seed);
    }
}
