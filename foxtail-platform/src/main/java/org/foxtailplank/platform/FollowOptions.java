package org.foxtailplank.platform;

import java.time.Duration;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.settings.PlatformSettings;

/**
 * How a process follows the log.
 *
 * @param node name of the process, which begins the names of its snapshots
 * @param answerTimeout time after which a record that was not read back is reported as unknown
 * @param retention time that the platform keeps a record
 * @param snapshotRecords records after which a new snapshot is due in any case
 * @param restoreDelay time that a log must stay short before its state is restored
 */
public record FollowOptions(
        String node,
        Duration answerTimeout,
        Duration retention,
        long snapshotRecords,
        Duration restoreDelay) {
    private static final long SNAPSHOT_RECORDS = 10_000;
    private static final Duration RESTORE_DELAY = Duration.ofSeconds(2);

    private static final int ANSWER_TIMEOUTS = 5;

    /** Options of a process from the settings. */
    public static FollowOptions of(NodeId node, PlatformSettings platform) {
        return of(
                node.value(),
                platform.timeout().multipliedBy(ANSWER_TIMEOUTS),
                platform.retention());
    }

    /** The usual options of a process. */
    public static FollowOptions of(String node, Duration answerTimeout, Duration retention) {
        return new FollowOptions(node, answerTimeout, retention, SNAPSHOT_RECORDS, RESTORE_DELAY);
    }
}
