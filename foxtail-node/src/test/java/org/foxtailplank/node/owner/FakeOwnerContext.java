package org.foxtailplank.node.owner;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.StartRelay;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.schedule.ScheduleLimits;

/** Dependencies of an owner, with an in-memory log and a clock that the test controls. */
final class FakeOwnerContext {
    private FakeOwnerContext() {}

    static OwnerContext of(FakeTime time, SharedLog log) {
        return of(time, log, true, null, null);
    }

    /** The same with a platform, for a complete owner. */
    static OwnerContext of(
            FakeTime time,
            SharedLog log,
            boolean vmTokensChecked,
            OperatorFollower operator,
            OwnerContext.Platform platform) {
        ScheduleLimits limits = new ScheduleLimits(1, 1, 1);
        return of(time, log, vmTokensChecked, limits, operator, platform, (record, job) -> {});
    }

    /** The same with schedule limits and a listener for journal records. */
    static OwnerContext of(
            FakeTime time,
            SharedLog log,
            boolean vmTokensChecked,
            ScheduleLimits limits,
            OperatorFollower operator,
            OwnerContext.Platform platform,
            BiConsumer<JournalRecord, Optional<JobProgress>> listener) {
        return of(
                time, log, vmTokensChecked, limits, LinkRate.UNKNOWN, operator, platform, listener);
    }

    /** The same with a link rate. */
    static OwnerContext of(
            FakeTime time,
            SharedLog log,
            boolean vmTokensChecked,
            ScheduleLimits limits,
            LinkRate link,
            OperatorFollower operator,
            OwnerContext.Platform platform,
            BiConsumer<JournalRecord, Optional<JobProgress>> listener) {
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
                        new NodeSettings.JournalLimits(1, 1, 3),
                        limits,
                        vmTokensChecked,
                        link,
                        1,
                        KeyLifetime.UNLIMITED,
                        false,
                        AdmissionSettings.OFF,
                        NodeSettings.CallerLimits.DEFAULTS);
        NodeLog out = NodeLog.silent(time);
        JournalReader reader =
                new JournalReader(
                        log,
                        settings.journal().partitions(),
                        time,
                        time,
                        out,
                        new JobRegistry(1),
                        listener);
        return new OwnerContext(
                settings,
                time,
                time,
                out,
                new NodeMetrics(),
                operator,
                reader,
                log,
                platform,
                StartRelay.NONE,
                r ->
                        log.append(
                                settings.journal().partitions().get(0),
                                List.of(JournalCodec.encode(r)),
                                result -> {}));
    }

    /** The same context with forecasts of bursts, and a registry that keeps ended jobs. */
    static OwnerContext withForecast(
            OwnerContext context, BiConsumer<JournalRecord, Optional<JobProgress>> listener) {
        return with(context, context.settings().journal(), true, 120_000, listener);
    }

    /** The same context with other limits for the journal, and a registry by them. */
    static OwnerContext withJournal(OwnerContext context, NodeSettings.JournalLimits journal) {
        long endedRetentionMs = journal.endedJobRetentionMs();
        return with(context, journal, false, endedRetentionMs, (record, job) -> {});
    }

    private static OwnerContext with(
            OwnerContext context,
            NodeSettings.JournalLimits journal,
            boolean forecastBursts,
            long endedRetentionMs,
            BiConsumer<JournalRecord, Optional<JobProgress>> listener) {
        NodeSettings s = context.settings();
        NodeSettings settings =
                new NodeSettings(
                        s.name(),
                        s.zone(),
                        s.callers(),
                        s.readiness(),
                        s.metrics(),
                        s.peers(),
                        s.platform(),
                        journal,
                        s.schedule(),
                        s.vmTokensChecked(),
                        s.link(),
                        s.graceMs(),
                        s.keyLifetime(),
                        forecastBursts,
                        s.admission(),
                        s.callerLimits());
        JournalReader reader =
                new JournalReader(
                        context.sharedLog(),
                        journal.partitions(),
                        context.clock(),
                        context.timers(),
                        context.log(),
                        new JobRegistry(endedRetentionMs),
                        listener);
        return new OwnerContext(
                settings,
                context.clock(),
                context.timers(),
                context.log(),
                context.metrics(),
                context.operator(),
                reader,
                context.sharedLog(),
                context.platform(),
                context.startRelay(),
                context.recordForwarder());
    }

    /** The same context with a relay for starts. */
    static OwnerContext withRelay(OwnerContext context, StartRelay relay) {
        return new OwnerContext(
                context.settings(),
                context.clock(),
                context.timers(),
                context.log(),
                context.metrics(),
                context.operator(),
                context.reader(),
                context.sharedLog(),
                context.platform(),
                relay,
                context.recordForwarder());
    }
}
