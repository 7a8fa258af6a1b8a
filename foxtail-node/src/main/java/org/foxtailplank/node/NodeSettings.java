package org.foxtailplank.node;

import java.net.InetSocketAddress;
import java.util.List;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.http.BodyMemory;
import org.foxtailplank.http.ServerLimits;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.schedule.ScheduleLimits;

/**
 * Settings of a node.
 *
 * @param name name of the node
 * @param zone availability zone of the node
 * @param callers listen address for callers' requests
 * @param readiness listen address for the platform's readiness checks
 * @param metrics listen address for metrics
 * @param peers listen address for connections of other nodes
 * @param platform addresses of the platform's services
 * @param journal limits for what is kept on the platform
 * @param schedule limits for the scheduler
 * @param vmTokensChecked whether the VM service itself rejects fencing tokens lower than the
 *     highest one that it has seen
 * @param link bandwidth of the node's network link
 * @param graceMs time from the stop signal to the end of the process, in milliseconds
 * @param keyLifetime how long callers' API keys are accepted without confirmation
 * @param forecastBursts whether VMs are moved by forecasts of the bursts of services
 * @param admission which submissions each queue refuses
 * @param callerLimits limits for callers' requests
 */
public record NodeSettings(
        String name,
        String zone,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress metrics,
        InetSocketAddress peers,
        PlatformAddresses platform,
        JournalLimits journal,
        ScheduleLimits schedule,
        boolean vmTokensChecked,
        LinkRate link,
        long graceMs,
        KeyLifetime keyLifetime,
        boolean forecastBursts,
        AdmissionSettings admission,
        CallerLimits callerLimits) {

    /**
     * Limits for the journal; times in milliseconds.
     *
     * @param retentionMs how long the platform retains a record
     * @param endedJobRetentionMs how long an ended job can be queried
     * @param partitionCount number of partitions of a topic on the shared log
     * @param recordBytes largest record that the store accepts, in bytes
     * @param appendBytes most bytes of records that it accepts in one append
     */
    public record JournalLimits(
            long retentionMs,
            long endedJobRetentionMs,
            int partitionCount,
            int recordBytes,
            int appendBytes) {
        public static final int DEFAULT_RECORD_BYTES = 256 << 10;
        public static final int DEFAULT_APPEND_BYTES = 2 << 20;

        /** Creates limits with the usual sizes of records and appends. */
        public JournalLimits(long retentionMs, long endedJobRetentionMs, int partitionCount) {
            this(
                    retentionMs,
                    endedJobRetentionMs,
                    partitionCount,
                    DEFAULT_RECORD_BYTES,
                    DEFAULT_APPEND_BYTES);
        }

        /** Returns the journal's partitions in order. */
        public List<LogPartition> partitions() {
            return JournalPartitions.all(partitionCount);
        }
    }

    /**
     * Limits for callers' requests; they take effect after a restart.
     *
     * @param connections most open connections
     * @param bufferBytes memory for all bodies over 16 KiB together, in bytes
     * @param requestMs time for a whole request to arrive, in milliseconds
     */
    public record CallerLimits(int connections, int bufferBytes, int requestMs) {
        public static final CallerLimits DEFAULTS =
                new CallerLimits(
                        ServerLimits.DEFAULT_CONNECTIONS,
                        BodyMemory.DEFAULT_BYTES,
                        ServerLimits.DEFAULT_REQUEST_MS);

        public CallerLimits {
            if (connections < 1 || bufferBytes < 1 || requestMs < 1) {
                throw new IllegalArgumentException("limits for callers must be positive");
            }
        }
    }

    /** Returns the address at which other nodes reach this one, as {@code ip:port}. */
    public String peerAddress() {
        return peers.getAddress().getHostAddress() + ':' + peers.getPort();
    }
}
