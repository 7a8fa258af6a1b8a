package org.foxtailplank.entry.internal.node;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.Liveness;
import org.foxtailplank.wire.PeerLink;

/** Knows how long peers have been silent, by their heartbeats. */
public final class PeerLiveness implements Liveness {

    private final NodeId mSelf;
    private final long mStart = System.nanoTime();
    private final Map<NodeId, Long> mHeard = new ConcurrentHashMap<>();

    private PeerLiveness(NodeId self) {
        mSelf = self;
    }

    /** Liveness as a link hears it. */
    public static PeerLiveness of(PeerLink peers) {
        PeerLiveness liveness = new PeerLiveness(peers.self().node());
        peers.onHeartbeat(member -> liveness.mHeard.put(member.node(), System.nanoTime()));
        return liveness;
    }

    @Override
    public Duration silence(NodeId node) {
        if (node.equals(mSelf)) {
            return Duration.ZERO;
        }
        return Duration.ofNanos(System.nanoTime() - mHeard.getOrDefault(node, mStart));
    }
}
