package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import io.netty.channel.Channel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.ShareDivision;
import org.foxtailplank.node.admission.CapacityEncoder;
import org.foxtailplank.node.admission.CapacitySource;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.admission.PoolRoom;
import org.foxtailplank.node.admission.ReportImages;
import org.foxtailplank.node.admission.ReportedPool;
import org.foxtailplank.node.log.NodeLog;

/**
 * Reports an owner's capacity, with its heartbeats, to the followers that send their accepted work,
 * and to the owner's own node. Each gets a share of the room that is left.
 */
public final class CapacityReporter {
    /**
     * Largest content of a report, in bytes. With five reports a second, and 14 bytes each for the
     * rest of the frame, a follower receives less than 1 KB a second.
     */
    static final int MAX_REPORT_BYTES = 180;

    /**
     * Part of the accepted work that still counts at the next report: work of the last second or so
     * decides the shares, and the order of the queues changes every few seconds.
     */
    private static final double DECAY = 0.8;

    /** Shortest time between two log lines about faults, in milliseconds. */
    private static final long FAULT_LOG_INTERVAL_MS = 1000;

    private final KnownCapacity mOwn;
    private final NodeLog mLog;
    private final Map<Channel, Follower> mFollowers = new LinkedHashMap<>();
    private final Participant mSelf = new Participant();
    private CapacitySource mSource = CapacitySource.NONE;
    private long mFaultLoggedMs = Long.MIN_VALUE / 2;

    /** A node among which room is divided. */
    private static class Participant {
        final Map<String, Long> mAccepted = new HashMap<>();

        void add(String service, long work) {
            mAccepted.merge(service, work, Long::sum);
        }

        void decay() {
            mAccepted.replaceAll((s, work) -> (long) (work * DECAY));
            mAccepted.values().removeIf(work -> work == 0);
        }
    }

    private static final class Follower extends Participant {
        final CapacityEncoder mEncoder = new CapacityEncoder(MAX_REPORT_BYTES);

        /** Whether the state of the encoder may differ from what was sent. */
        boolean mFailed;
    }

    /**
     * Creates a reporter.
     *
     * @param own what the owner's own node knows
     */
    public CapacityReporter(KnownCapacity own, NodeLog log) {
        mOwn = own;
        mLog = log;
    }

    /** Sets what measures the pools from now on, while this node owns. */
    public void setSource(CapacitySource source) {
        mSource = source;
    }

    /** Handles the accepted work of a follower, which reports it again to each owner. */
    void received(PeerFrame.AcceptedWork frame, Channel channel) throws IOException {
        Follower follower = mFollowers.computeIfAbsent(channel, c -> new Follower());
        CodedInputStream in = CodedInputStream.newInstance(frame.content());
        while (!in.isAtEnd()) {
            Optional<String> service = follower.mEncoder.service(in.readUInt32());
            long work = Math.max(0, in.readUInt64());
            service.ifPresent(s -> follower.add(s, work));
        }
    }

    void removeFollower(Channel channel) {
        mFollowers.remove(channel);
    }

    /**
     * Writes a report to each follower, which the caller flushes. A fault is logged, and then
     * nothing is sent: followers accept all jobs once their reports are too old.
     */
    void report(long token, long nowMs) {
        try {
            mOwn.takeAcceptedWork().forEach(mSelf::add);
            Map<Participant, List<ReportedPool>> reports = divide(mSource.measure(nowMs));
            ReportImages images = new ReportImages();
            mOwn.update(token, reports.getOrDefault(mSelf, List.of()));
            mFollowers.forEach(
                    (channel, follower) -> {
                        if (channel.isWritable() && !follower.mFailed) {
                            List<ReportedPool> report = reports.getOrDefault(follower, List.of());
                            write(report, images, token, channel, follower, nowMs);
                        }
                    });
        } catch (RuntimeException e) {
            logFault(e, nowMs);
        }
        mSelf.decay();
        mFollowers.values().forEach(Participant::decay);
    }

    private void write(
            List<ReportedPool> report,
            ReportImages images,
            long token,
            Channel channel,
            Follower follower,
            long nowMs) {
        try {
            follower.mEncoder
                    .encode(report, images)
                    .map(c -> new PeerFrame.CapacityReport(token, c).encode())
                    .ifPresent(channel::write);
        } catch (RuntimeException e) {
            follower.mFailed = true;
            logFault(e, nowMs);
        }
    }

    private void logFault(RuntimeException fault, long nowMs) {
        if (nowMs - mFaultLoggedMs >= FAULT_LOG_INTERVAL_MS) {
            mFaultLoggedMs = nowMs;
            mLog.line("capacity-report-failed").with("cause", fault).write();
        }
    }

    private Map<Participant, List<ReportedPool>> divide(List<PoolRoom> rooms) {
        Map<Participant, List<ReportedPool>> reports = new HashMap<>();
        for (PoolRoom room : rooms) {
            String service = room.capacity().service();
            Map<Participant, Long> accepted = new LinkedHashMap<>();
            accepted.put(mSelf, mSelf.mAccepted.getOrDefault(service, 0L));
            mFollowers
                    .values()
                    .forEach(f -> accepted.put(f, f.mAccepted.getOrDefault(service, 0L)));
            ShareDivision.parts(accepted)
                    .forEach(
                            (node, part) ->
                                    reports.computeIfAbsent(node, n -> new ArrayList<>())
                                            .add(room.toReport(part)));
        }
        return reports;
    }
}
