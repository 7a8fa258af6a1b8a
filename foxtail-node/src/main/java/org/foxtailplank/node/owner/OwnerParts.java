package org.foxtailplank.node.owner;

import org.foxtailplank.node.Clock;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.Feed;
import org.foxtailplank.port.PlacementAdvice;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmActions;
import org.foxtailplank.port.WaveBoard;
import org.foxtailplank.port.WorkerInfo;
import org.foxtailplank.port.WorkerOrders;

/** Dependencies of an owner. */
public record OwnerParts(
        NodeSettings settings,
        Clock clock,
        Timers timers,
        NodeLog log,
        NodeMetrics metrics,
        OperatorFollower operator,
        JournalReader reader,
        SharedLog sharedLog,
        Platform platform) {

    /** Platform ports that only an owner uses. */
    public record Platform(
            Feed<WorkerInfo> directory,
            WorkerOrders orders,
            VmActions vms,
            PlacementAdvice advice,
            WaveBoard waves) {}
}
