package org.foxtailplank.wire.internal.peer;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.internal.membership.HeartbeatDigest;
import org.foxtailplank.internal.membership.HeartbeatPlan;
import org.foxtailplank.internal.membership.MemberTable;
import org.foxtailplank.internal.membership.SilenceLimits;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** Sends the heartbeats of this node. */
final class HeartbeatSender {

    private static final int INITIAL_HEARTBEAT_BYTES = 40;
    private static final int MAX_DEPARTURES = 4;
    private static final int MAX_IMMEDIATE_PEERS = 8;
    private static final long MIN_GAP_NANOS = 20_000_000L;

    private final EventLoop mLoop;
    private final MemberTable mTable;
    private final OutgoingLinks mLinks;
    private final OutstandingRequests mOutstandingRequests;
    private final Counters mCounters;
    private final HeartbeatPlan<OutgoingLink> mPlan;
    private final SilenceLimits mSilenceLimits;
    private NodeStatus mStatus = NodeStatus.none();
    private int mHeartbeatBytes = INITIAL_HEARTBEAT_BYTES;
    private long mNumber;
    private long mSentAt;
    private boolean mImmediateScheduled;

    HeartbeatSender(
            EventLoop loop,
            MemberTable table,
            OutgoingLinks links,
            OutstandingRequests outstandingRequests,
            Counters counters,
            HeartbeatPlan<OutgoingLink> plan,
            SilenceLimits silenceLimits) {
        mLoop = loop;
        mTable = table;
        mLinks = links;
        mOutstandingRequests = outstandingRequests;
        mCounters = counters;
        mPlan = plan;
        mSilenceLimits = silenceLimits;
    }

    /** Returns the number of the last heartbeat. */
    long lastNumber() {
        return mNumber;
    }

    void report(LoadSummary load) {
        mStatus = new NodeStatus(mStatus.configurationVersion(), mStatus.position(), load);
    }

    void report(StatePosition position) {
        mStatus = new NodeStatus(mStatus.configurationVersion(), position, mStatus.load());
    }

    /** Sets the active configuration version; a newer one is sent immediately. */
    void reportConfiguration(long version) {
        boolean newer = version > mStatus.configurationVersion();
        mStatus = new NodeStatus(version, mStatus.position(), mStatus.load());
        if (newer && !mImmediateScheduled) {
            mImmediateScheduled = true;
            long delay = Math.max(0, mSentAt + MIN_GAP_NANOS - System.nanoTime());
            mLoop.schedule(this::sendImmediately, delay, TimeUnit.NANOSECONDS);
        }
    }

    /** Sends the periodic heartbeats of one interval. */
    void send() {
        long now = nextNumber();
        int peers = mLinks.open().size();
        mTable.setSilenceLimits(
                mSilenceLimits.plusPropagationDelay(
                        mPlan.propagationDelay(peers, mHeartbeatBytes)));
        mTable.tick(now);
        int digestLimit = mPlan.digestLimit(peers, mHeartbeatBytes);
        for (OutgoingLink link : mPlan.nextPeers(mLinks.open(), mHeartbeatBytes)) {
            sendTo(link, digestLimit, now);
        }
    }

    private void sendImmediately() {
        mImmediateScheduled = false;
        long now = nextNumber();
        for (OutgoingLink link :
                mPlan.immediatePeers(mLinks.open(), MAX_IMMEDIATE_PEERS, mHeartbeatBytes)) {
            sendTo(link, 0, now);
        }
    }

    private long nextNumber() {
        mNumber++;
        mSentAt = System.nanoTime();
        return mSentAt;
    }

    private void sendTo(OutgoingLink link, int digestLimit, long now) {
        link.session().ifPresent(session -> sendOn(session, link, digestLimit, now));
    }

    /** Sends a heartbeat, or skips it if the send buffer is full. */
    private void sendOn(Session session, OutgoingLink link, int digestLimit, long now) {
        if (!session.isWritable()) {
            mCounters.mHeartbeatsDropped.increment();
            return;
        }
        List<HeartbeatDigest> digests = mTable.nextDigests(digestLimit);
        EnvelopeProto.Builder envelope =
                EnvelopeProto.newBuilder()
                        .setHeartbeat(
                                Heartbeats.encode(
                                        mNumber,
                                        mStatus,
                                        digests,
                                        mTable.nextDepartures(MAX_DEPARTURES)));
        if (link.needsConfirmation(mSilenceLimits.suspectNanos(), now)) {
            long request = mOutstandingRequests.nextNumber();
            link.awaitConfirmation(request, now);
            envelope.setAsk(request);
        }
        mHeartbeatBytes =
                session.write(envelope.build()) - HeartbeatPlan.BYTES_PER_DIGEST * digests.size();
    }
}
