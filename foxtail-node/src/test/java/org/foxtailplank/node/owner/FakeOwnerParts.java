package org.foxtailplank.node.owner;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.schedule.ScheduleLimits;

/** Dependencies of an owner, with an in-memory log and a clock that the test controls. */
final class FakeOwnerParts {
    private FakeOwnerParts() {}

    static OwnerParts of(FakeNode time, SharedLog log) {
        return of(time, log, true, null, null);
    }

    /** The same with a platform, for a complete owner. */
    static OwnerParts of(
            FakeNode time,
            SharedLog log,
            boolean vmTokensChecked,
            OperatorFollower operator,
            OwnerParts.Platform platform) {
        ScheduleLimits limits = new ScheduleLimits(1, 1);
        return of(time, log, vmTokensChecked, limits, operator, platform, (record, job) -> {});
    }

    /** The same with schedule limits and a listener for journal records. */
    static OwnerParts of(
            FakeNode time,
            SharedLog log,
            boolean vmTokensChecked,
            ScheduleLimits limits,
            OperatorFollower operator,
            OwnerParts.Platform platform,
            BiConsumer<JournalRecord, Optional<JobEntry>> listener) {
        return of(
                time, log, vmTokensChecked, limits, LinkRate.UNKNOWN, operator, platform, listener);
    }

    /** The same with a link rate. */
    static OwnerParts of(
            FakeNode time,
            SharedLog log,
            boolean vmTokensChecked,
            ScheduleLimits limits,
            LinkRate link,
            OperatorFollower operator,
            OwnerParts.Platform platform,
            BiConsumer<JournalRecord, Optional<JobEntry>> listener) {
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
                        limits,
                        vmTokensChecked,
                        link,
                        1);
        NodeLog out = NodeLog.silent(time);
        JournalReader reader =
                new JournalReader(
                        log,
                        settings.journal().partitions(),
                        time,
                        time,
                        out,
                        new JobBook(1),
                        listener);
        return new OwnerParts(
                settings, time, time, out, new NodeMetrics(), operator, reader, log, platform);
    }
}
