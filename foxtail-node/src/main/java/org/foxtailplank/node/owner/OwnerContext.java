package org.foxtailplank.node.owner;

import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.StartRelay;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.PlacementAdvisor;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WavePublisher;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.port.WorkerInfo;

/**
 * Dependencies of an owner.
 *
 * @param recordForwarder stores records of an owner that has ended
 */
public record OwnerContext(
        NodeSettings settings,
        Clock clock,
        Timers timers,
        NodeLog log,
        NodeMetrics metrics,
        OperatorFollower operator,
        JournalReader reader,
        SharedLog sharedLog,
        Platform platform,
        StartRelay startRelay,
        Consumer<JournalRecord> recordForwarder) {

    /** Platform ports that only an owner uses. */
    public record Platform(
            ChangeFeed<WorkerInfo> directory,
            WorkerClient workerClient,
            VmClient vms,
            PlacementAdvisor advice,
            WavePublisher waves) {}
}
