package org.foxtailplank.node.peer;

import io.netty.channel.Channel;
import java.io.IOException;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.OperatorFollower;

/**
 * Exchanges configurations between the owner and its followers, so that a node that the store
 * rejects, or whose reads of the operator's topic fail, has the newest one that a peer has and
 * knows how long ago it was confirmed to be the newest.
 *
 * <p>The owner's heartbeats report its version, and followers with a newer one report theirs in
 * return. A node requests the content only if the store hasn't delivered it for a while.
 */
public final class ConfigExchange {
    /**
     * How long a node waits for the store to deliver a newer version before it asks a peer, and the
     * least time between two requests, in milliseconds.
     */
    private static final long REQUEST_DELAY_MS = 300;

    /**
     * The same on a narrow link, in milliseconds: a large configuration that is still arriving must
     * not be transferred twice.
     */
    private static final long NARROW_REQUEST_DELAY_MS = 3000;

    /**
     * Age of a node's own confirmation from which it asks the owner for one, in milliseconds; above
     * the age that a long poll reaches.
     */
    private static final long CONFIRMATION_REQUEST_AGE_MS = 2000;

    /** Least time between two such requests, in milliseconds. */
    private static final long CONFIRMATION_REQUEST_INTERVAL_MS = 400;

    /** Older confirmations are of no use to a peer, in milliseconds. */
    private static final long MAX_CONFIRMATION_AGE_MS = 60_000;

    /** Larger configurations aren't exchanged, in bytes; a margin to the largest frame. */
    private static final int MAX_CONTENT_BYTES = 1000 << 10;

    private final OperatorFollower mOperator;
    private final Clock mClock;
    private final long mRequestDelayMs;
    private long mBehindVersion = Long.MIN_VALUE;
    private long mBehindSinceMs;
    private long mLastRequestMs = Long.MIN_VALUE / 2;
    private long mNextConfirmationRequestMs = Long.MIN_VALUE;
    private boolean mSending;

    public ConfigExchange(OperatorFollower operator, Clock clock, boolean ampleLink) {
        mOperator = operator;
        mClock = clock;
        mRequestDelayMs = ampleLink ? REQUEST_DELAY_MS : NARROW_REQUEST_DELAY_MS;
    }

    /** Returns the version of this node's configuration, which heartbeats report. */
    long version() {
        return mOperator.version();
    }

    /** Handles a frame; returns whether it belongs to this exchange. */
    boolean handle(PeerFrame frame, Channel channel) throws IOException {
        if (frame instanceof PeerFrame.ConfigVersion announced) {
            peerHasVersion(announced.version(), channel);
        } else if (frame instanceof PeerFrame.ConfigRequest) {
            sendConfig(channel);
        } else if (frame instanceof PeerFrame.ConfirmationRequest request) {
            peerHasVersion(request.version(), channel);
            sendConfirmation(request, channel);
        } else if (frame instanceof PeerFrame.ConfirmationResponse response) {
            peerHasVersion(response.version(), channel);
            mOperator.confirm(
                    response.version(), response.requestSentAt().minusMs(response.ageMs()));
        } else if (frame instanceof PeerFrame.ConfigContent content) {
            FleetConfigCodec.decode(content.bytes()).ifPresent(mOperator::offer);
        } else {
            return false;
        }
        return true;
    }

    /** Handles the version in a heartbeat of the owner. */
    void heartbeatReceived(long version, Channel channel) {
        peerHasVersion(version, channel);
        long now = mClock.nowMs();
        boolean due = now >= mNextConfirmationRequestMs;
        if (version >= 0 && due && mOperator.confirmedAgeMs() > CONFIRMATION_REQUEST_AGE_MS) {
            mNextConfirmationRequestMs = now + CONFIRMATION_REQUEST_INTERVAL_MS;
            channel.writeAndFlush(
                    new PeerFrame.ConfirmationRequest(version(), mClock.moment()).encode());
        }
    }

    private void sendConfirmation(PeerFrame.ConfirmationRequest request, Channel channel) {
        long ageMs = mOperator.confirmedAgeMs();
        if (ageMs <= MAX_CONFIRMATION_AGE_MS) {
            channel.writeAndFlush(
                    new PeerFrame.ConfirmationResponse(version(), request.sentAt(), ageMs)
                            .encode());
        }
    }

    /** Handles the version that a peer has; -1 if it has none or doesn't take part. */
    void peerHasVersion(long version, Channel channel) {
        long own = version();
        if (version < 0) {
            return;
        }
        if (version < own) {
            channel.writeAndFlush(new PeerFrame.ConfigVersion(own).encode());
        } else if (version > own) {
            requestIfDue(own, channel);
        }
    }

    private void requestIfDue(long ownVersion, Channel channel) {
        long now = mClock.nowMs();
        // While reads fail, none is still delivering the configuration.
        long delayMs = mOperator.isFailing() ? REQUEST_DELAY_MS : mRequestDelayMs;
        if (mBehindVersion != ownVersion) {
            mBehindVersion = ownVersion;
            mBehindSinceMs = now;
        }
        if (now >= Math.max(mBehindSinceMs, mLastRequestMs) + delayMs) {
            mLastRequestMs = now;
            channel.writeAndFlush(new PeerFrame.ConfigRequest().encode());
        }
    }

    /** Sends the configuration, to one peer at a time so that a large one can't fill the link. */
    private void sendConfig(Channel channel) {
        if (mSending || mOperator.config().isEmpty()) {
            return;
        }
        byte[] bytes = FleetConfigCodec.encode(mOperator.config().get());
        if (bytes.length <= MAX_CONTENT_BYTES) {
            mSending = true;
            channel.writeAndFlush(new PeerFrame.ConfigContent(bytes).encode())
                    .addListener(sent -> mSending = false);
        }
    }
}
