package org.foxtailplank.wire.internal.peer;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.internal.membership.BeatNews;
import org.foxtailplank.internal.membership.HeartbeatPlan;
import org.foxtailplank.internal.membership.MemberTable;
import org.foxtailplank.internal.membership.SilenceLimits;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** Sends this node's heartbeats. */
final class HeartbeatSender {

    private static final int FIRST_BYTES = 40;
    private static final int FAREWELLS = 4;
    private static final int PEERS_AT_ONCE = 8;
    private static final long MIN_GAP_NANOS = 20_000_000L;

    private final EventLoop mLoop;
    private final MemberTable mTable;
    private final Links mLinks;
    private final Asks mAsks;
    private final Counters mCounters;
    private final HeartbeatPlan<Link> mPlan;
    private final SilenceLimits mSilence;
    private NodeStatus mStatus = NodeStatus.none();
    private int mBytes = FIRST_BYTES;
    private long mBeat;
    private long mSentAt;
    private boolean mDueAtOnce;

    HeartbeatSender(
            EventLoop loop,
            MemberTable table,
            Links links,
            Asks asks,
            Counters counters,
            HeartbeatPlan<Link> plan,
            SilenceLimits silence) {
        mLoop = loop;
        mTable = table;
        mLinks = links;
        mAsks = asks;
        mCounters = counters;
        mPlan = plan;
        mSilence = silence;
    }

    /** The number of the newest heartbeat. */
    long beat() {
        return mBeat;
    }

    void report(LoadSummary load) {
        mStatus = new NodeStatus(mStatus.configurationVersion(), mStatus.position(), load);
    }

    void report(StatePosition position) {
        mStatus = new NodeStatus(mStatus.configurationVersion(), position, mStatus.load());
    }

    /** The version in force here; a newer one is told at once. */
    void reportConfiguration(long version) {
        boolean newer = version > mStatus.configurationVersion();
        mStatus = new NodeStatus(version, mStatus.position(), mStatus.load());
        if (newer && !mDueAtOnce) {
            mDueAtOnce = true;
            long wait = Math.max(0, mSentAt + MIN_GAP_NANOS - System.nanoTime());
            mLoop.schedule(this::sendAtOnce, wait, TimeUnit.NANOSECONDS);
        }
    }

    /** Sends the regular heartbeats of one interval. */
    void send() {
        long now = nextBeat();
        int peers = mLinks.open().size();
        mTable.allow(mSilence.allowing(mPlan.spread(peers, mBytes)));
        mTable.tick(now);
        int news = mPlan.newsLimit(peers, mBytes);
        for (Link link : mPlan.next(mLinks.open(), mBytes)) {
            sendTo(link, news, now);
        }
    }

    private void sendAtOnce() {
        mDueAtOnce = false;
        long now = nextBeat();
        for (Link link : mPlan.atOnce(mLinks.open(), PEERS_AT_ONCE, mBytes)) {
            sendTo(link, 0, now);
        }
    }

    private long nextBeat() {
        mBeat++;
        mSentAt = System.nanoTime();
        return mSentAt;
    }

    private void sendTo(Link link, int newsLimit, long now) {
        link.session().ifPresent(session -> sendOn(session, link, newsLimit, now));
    }

    /** A peer that does not keep up gets the next heartbeat in place of this one. */
    private void sendOn(Session session, Link link, int newsLimit, long now) {
        if (!session.isWritable()) {
            mCounters.mHeartbeatsDropped.increment();
            return;
        }
        List<BeatNews> news = mTable.news(newsLimit);
        EnvelopeProto.Builder envelope =
                EnvelopeProto.newBuilder()
                        .setHeartbeat(
                                Heartbeats.encode(
                                        mBeat, mStatus, news, mTable.farewells(FAREWELLS)));
        if (link.wantsConfirmation(mSilence.suspectNanos(), now)) {
            long ask = mAsks.nextNumber();
            link.await(ask, now);
            envelope.setAsk(ask);
        }
        mBytes = session.write(envelope.build()) - HeartbeatPlan.BYTES_PER_NEWS * news.size();
    }
}
