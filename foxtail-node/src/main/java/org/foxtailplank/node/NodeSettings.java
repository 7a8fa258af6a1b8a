package org.foxtailplank.node;

import java.net.InetSocketAddress;
import java.util.List;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.schedule.ScheduleLimits;

/**
 * Settings of a node.
 *
 * @param name its name
 * @param zone its availability zone
 * @param callers where callers' requests arrive
 * @param readiness where the platform asks whether callers may be sent here
 * @param metrics where metrics are read
 * @param peers where other nodes connect to this one
 * @param platform addresses of the platform's services
 * @param journal bounds for what is kept on the platform
 * @param schedule bounds for the scheduler
 * @param vmTokensChecked whether the VM service itself refuses an owner's token that is lower than
 *     one that it has seen
 * @param graceMs time between the signal to stop and the end of the process, in milliseconds
 * @param linkMbps what its link to all others carries, in megabits a second; infinite where nothing
 *     is said
 */
public record NodeSettings(
        String name,
        String zone,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress metrics,
        InetSocketAddress peers,
        PlatformAddresses platform,
        JournalBounds journal,
        ScheduleLimits schedule,
        boolean vmTokensChecked,
        long graceMs,
        double linkMbps) {

    /**
     * Bounds for the journal; times in milliseconds.
     *
     * @param keepMs how long the platform keeps a record
     * @param statusMs how long an ended job can be asked for
     * @param parts partitions of a topic of the shared log
     */
    public record JournalBounds(long keepMs, long statusMs, int parts) {

        /** The journal's partitions, the first one first. */
        public List<LogPartition> partitions() {
            return JournalPartition.all(parts);
        }
    }

    /** Where other nodes reach this one, as {@code ip:port}. */
    public String peerAddress() {
        return peers.getAddress().getHostAddress() + ':' + peers.getPort();
    }
}
