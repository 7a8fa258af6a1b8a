package org.foxtailplank.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Selects the recipients of heartbeats and the number of gossiped digests, within a byte budget.
 *
 * <p>If the budget allows, each heartbeat is sent to all peers. Otherwise the peers are selected
 * round-robin, in an order that is shuffled each round, and heartbeats carry digests of other
 * members' heartbeats.
 *
 * @param <T> type that identifies a peer
 */
public final class HeartbeatPlan<T> {

    /** Size of one digest in a heartbeat, in bytes. */
    public static final int BYTES_PER_DIGEST = 6;

    /** Size of the IP and TCP headers of a message and of its acknowledgement. */
    private static final int PACKET_BYTES = 104;

    /** Number of digests when all peers are reached directly; covers one-way link failures. */
    private static final int MIN_DIGESTS = 2;

    private static final int MAX_DIGESTS = 100;
    private static final int PROPAGATION_FACTOR = 4;

    private final Duration mHeartbeat;
    private final double mBytesPerTick;
    private final Random mRandom;
    private final List<T> mRound = new ArrayList<>();
    private double mCredit;

    public HeartbeatPlan(Duration heartbeat, int bytesPerSecond, Random random) {
        mHeartbeat = heartbeat;
        mBytesPerTick = bytesPerSecond * seconds(heartbeat);
        mRandom = random;
    }

    /** Returns the recipients of a regular heartbeat of {@code bytesEach} bytes without digests. */
    public List<T> nextPeers(Set<T> peers, int bytesEach) {
        int bytes = bytes(bytesEach, digestLimit(peers.size(), bytesEach));
        mCredit = Math.min(mCredit + mBytesPerTick, 2 * mBytesPerTick);
        int fanOut = reachesAll(peers.size(), bytesEach) ? peers.size() : (int) (mCredit / bytes);
        List<T> chosen = choose(peers, Math.max(1, fanOut));
        spend(chosen.size() * bytes);
        return chosen;
    }

    /** Returns recipients of an unscheduled message, whose bytes are deducted from the budget. */
    public List<T> immediatePeers(Set<T> peers, int count, int bytesEach) {
        List<T> chosen = choose(peers, count);
        spend(chosen.size() * bytes(bytesEach, 0));
        return chosen;
    }

    /** Returns the maximum number of digests in a regular heartbeat. */
    public int digestLimit(int peers, int bytesEach) {
        return reachesAll(peers, bytesEach) ? MIN_DIGESTS : Math.min(peers, MAX_DIGESTS);
    }

    /**
     * Returns the additional time that gossip may take to reach all nodes.
     *
     * <p>Gossip reaches all of n nodes in about 2 ln(n) / rate; this allows for twice that time.
     */
    public Duration propagationDelay(int peers, int bytesEach) {
        if (peers == 0 || reachesAll(peers, bytesEach)) {
            return Duration.ZERO;
        }
        int bytes = bytes(bytesEach, digestLimit(peers, bytesEach));
        double messagesPerSecond = Math.max(1, mBytesPerTick / bytes) / seconds(mHeartbeat);
        double delay = PROPAGATION_FACTOR * Math.log(peers) / messagesPerSecond;
        return Duration.ofMillis((long) (delay * 1_000));
    }

    private boolean reachesAll(int peers, int bytesEach) {
        return peers * bytes(bytesEach, MIN_DIGESTS) <= mBytesPerTick;
    }

    private static int bytes(int bytesEach, int digests) {
        return PACKET_BYTES + bytesEach + BYTES_PER_DIGEST * digests;
    }

    private void spend(int bytes) {
        mCredit = Math.max(mCredit - bytes, -mBytesPerTick);
    }

    private List<T> choose(Set<T> peers, int count) {
        int wanted = Math.min(count, peers.size());
        List<T> chosen = new ArrayList<>(wanted);
        mRound.retainAll(peers);
        while (chosen.size() < wanted) {
            if (mRound.isEmpty()) {
                startRound(peers, chosen);
            }
            chosen.add(mRound.remove(mRound.size() - 1));
        }
        return chosen;
    }

    private void startRound(Set<T> peers, List<T> chosen) {
        mRound.addAll(peers);
        mRound.removeAll(chosen);
        Collections.shuffle(mRound, mRandom);
    }

    private static double seconds(Duration time) {
        return time.toNanos() / 1e9;
    }
}
