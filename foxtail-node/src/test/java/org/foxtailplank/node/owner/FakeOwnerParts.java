package org.foxtailplank.node.owner;

import java.net.InetSocketAddress;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.schedule.ScheduleLimits;

/** What an owner's journal needs, on a log in memory and a clock that the test moves. */
final class FakeOwnerParts {
    private FakeOwnerParts() {}

    static OwnerParts of(FakeNode time, SharedLog log) {
        return of(time, log, true, null, null);
    }

    /** The same with a platform, for an owner that does all of its work. */
    static OwnerParts of(
            FakeNode time,
            SharedLog log,
            boolean vmTokensChecked,
            OperatorFollower operator,
            OwnerParts.Platform platform) {
        InetSocketAddress any = new InetSocketAddress(0);
        NodeSettings settings =
                new NodeSettings(
                        "n",
                        "z",
                        any,
                        any,
                        any,
                        any,
                        new PlatformAddresses("", "", ""),
                        new NodeSettings.JournalBounds(1, 1, 3),
                        new ScheduleLimits(1, 1),
                        vmTokensChecked,
                        1,
                        Double.POSITIVE_INFINITY);
        NodeLog out = NodeLog.silent(time);
        JournalReader reader =
                new JournalReader(
                        log,
                        settings.journal().partitions(),
                        time,
                        time,
                        out,
                        new JobBook(1),
                        (record, job) -> {});
        return new OwnerParts(
                settings, time, time, out, new NodeMetrics(), operator, reader, log, platform);
    }
}
